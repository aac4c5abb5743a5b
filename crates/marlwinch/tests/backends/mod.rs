//! Test backends for blocking tests. They run on their own thread until the process of the test ends.
#![allow(dead_code)] // each test file uses only some of these

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::time::Duration;
use test_servers::environment::Environment;
use test_servers::execution_log::ExecutionLog;
use test_servers::script::Script;

/// The addresses of a script's backends, in its order, and what they executed.
pub struct Backends {
    pub addresses: Vec<SocketAddr>,
    pub execution_log: Arc<ExecutionLog>,
}

impl Backends {
    pub fn start(script: &str) -> Backends {
        let script = Script::read(script).expect("a script");
        let (sender, receiver) = channel();
        std::thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            runtime.block_on(async {
                let environment = Environment::start(&script).await.expect("an environment");
                let addresses = environment.backends.iter().map(|server| server.address).collect();
                sender
                    .send(Backends { addresses, execution_log: environment.execution_log.clone() })
                    .expect("the test waits");
                std::future::pending::<()>().await;
            });
        });
        receiver.recv_timeout(Duration::from_secs(60)).expect("backends")
    }

    /// Starts this number of backends, named `b-1`, `b-2` and so on, that serve without delay and have these
    /// faults.
    pub fn with_faults(count: usize, faults: &str) -> Backends {
        let name = if count == 1 { "b-1" } else { "b" };
        Backends::start(&format!("[[box]]\nname = \"{name}\"\ncount = {count}\ncores = 1000\n{faults}"))
    }
}

/// The script of a fault for each of this number of backends. `more` holds further keys of the fault.
pub fn fault_for_each(count: usize, what: &str, more: &str) -> String {
    (1..=count).map(|n| format!("[[fault]]\nbox = \"b-{n}\"\nwhat = \"{what}\"\n{more}\n")).collect()
}

/// The index of a backend by its name: 0 for `b-1`.
pub fn backend_index(name: &str) -> usize {
    name.rsplit('-').next().and_then(|n| n.parse::<usize>().ok()).expect("a number") - 1
}
