//! Errors of the demonstration.

use crate::operator::ACKNOWLEDGE_TIMEOUT;
use crate::run::READY_TIMEOUT;
use quick_error::quick_error;
use std::net::SocketAddrV4;

quick_error! {
    /// Why the demonstration could not run, or why one of its calls failed.
    #[derive(Debug)]
    pub enum DemoError {
        /// A system call failed; with the step, as a verb phrase.
        Io(step: &'static str, error: std::io::Error) {
            display("can't {step}: {error}")
            source(error)
        }
        /// A connection to a peer could not be opened; with the step, as a verb phrase without its object.
        PeerIo(step: &'static str, peer: SocketAddrV4, error: std::io::Error) {
            display("can't {step} {peer}: {error}")
            source(error)
        }
        /// An HTTP exchange with a peer failed; with the step, as a verb phrase without its object.
        PeerHttp(step: &'static str, peer: SocketAddrV4, error: hyper::Error) {
            display("can't {step} {peer}: {error}")
            source(error)
        }
        /// A request to a peer could not be built.
        InvalidRequest(peer: SocketAddrV4, error: hyper::http::Error) {
            display("can't build a request to {peer}: {error}")
            source(error)
        }
        /// A peer did not reply within the time-out of the step.
        PeerTimeout(step: &'static str, peer: SocketAddrV4) {
            display("can't {step} {peer}: no reply within the time-out")
        }
        /// A coordinator rejected a configuration; with the status and the body of its response.
        ConfigurationRejected(peer: SocketAddrV4, status: u16, body: String) {
            display("coordinator {peer} rejected the configuration with status {status}: {body}")
        }
        /// Not every frontend became ready in time.
        NotReady {
            display("not all frontends were ready within {:?}", READY_TIMEOUT)
        }
        /// A configuration was not acknowledged in time; with its generation.
        NotAcknowledged(generation: u64) {
            display("no coordinator acknowledged configuration {generation} within {ACKNOWLEDGE_TIMEOUT:?}")
        }
    }
}
