//! The main loop of the adapter: reads batches, passes their events to the instances, and writes the replies.

use crate::instance::{Instance, InstanceError};
use crate::wire::{Batch, Input, Reply, WireError, read_batch};
use quick_error::quick_error;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Read, Write};

quick_error! {
    /// An error that terminates the adapter.
    #[derive(Debug)]
    pub enum AdapterError {
        /// A batch cannot be read.
        Wire(error: WireError) {
            from()
            display("{}", error)
            source(error)
        }
        /// An instance cannot start.
        Start(batch: u32, record: usize, error: InstanceError) {
            display("batch {}: record {}: {}", batch, record, error)
            source(error)
        }
        /// An event or a stop is for an instance that is not running.
        NotRunning(batch: u32, record: usize, instance: u16) {
            display("batch {}: record {}: instance {} is not running", batch, record, instance)
        }
        /// A reply cannot be written.
        Write(error: io::Error) {
            from()
            display("cannot write a reply: {}", error)
            source(error)
        }
    }
}

/// Processes batches until the end of the input. A batch with an error gets no reply.
pub fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut instances = BTreeMap::new();
    while let Some(batch) = read_batch(input)? {
        let frame = reply_to(&batch, &mut instances)?;
        output.write_all(&frame).and_then(|()| output.flush())?;
    }
    Ok(())
}

/// Processes the records of a batch in order. Returns the frame of the reply.
fn reply_to(batch: &Batch, instances: &mut BTreeMap<u16, Instance>) -> Result<Vec<u8>, AdapterError> {
    let mut reply = Reply::default();
    let mut failed = BTreeSet::new();
    for (i, record) in batch.records().enumerate() {
        let (id, input) = record?;
        let not_running = || AdapterError::NotRunning(batch.number, i, id);
        match input {
            Input::Start { seed, settings } => {
                let instance = Instance::start(&settings, seed)
                    .map_err(|error| AdapterError::Start(batch.number, i, error))?;
                instances.insert(id, instance);
            }
            // After a panic of an instance, its further records in the batch are skipped.
            _ if failed.contains(&id) => {}
            Input::Stop => drop(instances.remove(&id).ok_or_else(not_running)?),
            Input::Event(event, report) => {
                let instance = instances.get_mut(&id).ok_or_else(not_running)?;
                match instance.handle(batch.clock, event, report) {
                    Ok(actions) => actions.iter().for_each(|action| reply.push(id, action)),
                    Err(error) => {
                        reply.push_fault(id, &error.to_string());
                        instances.remove(&id);
                        failed.insert(id);
                    }
                }
            }
        }
    }
    Ok(reply.frame(batch.number))
}
