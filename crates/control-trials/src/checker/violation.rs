//! A violation of rule CONFIG.

use crate::document::{Flaw, Generation, Handling, TestRequest};
use crate::history::{FrontendId, Time};
use quick_error::quick_error;

quick_error! {
    /// A violation, by the sentence of the rule that it breaks.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Violation {
        /// A machine in touch handles a request as only an older version allows.
        NotInForce(frontend: FrontendId, sent_at: Time, request: TestRequest, handling: Handling, version: Generation) {
            display("{:.3} s: {request:?} at {frontend}: {handling:?}, as only versions before {version} allow, which was acknowledged longer ago than the bound", sent_at.as_secs_f64())
        }
        /// A request was handled as no version allows that may be in force.
        NeverAllowed(frontend: FrontendId, sent_at: Time, request: TestRequest, handling: Handling) {
            display("{:.3} s: {request:?} at {frontend}: {handling:?}, as no version allows that may be in force", sent_at.as_secs_f64())
        }
        /// A machine goes back within one incarnation of its processes.
        WentBack(frontend: FrontendId, sent_at: Time, request: TestRequest, handling: Handling, shown: Generation) {
            display("{:.3} s: {request:?} at {frontend}: {handling:?}, although it had shown version {shown} before", sent_at.as_secs_f64())
        }
        /// In calm times, requests on routes added later are served less than a quarter as often as those on
        /// the first routes.
        AddedRoutesNotServed(frontend: FrontendId, served: usize, requests: usize) {
            display("{frontend}: {served} of {requests} requests on added routes served in calm times")
        }
        /// An acknowledged change that is sent again, with no other change made since, is refused.
        RepeatRefused(generation: Generation, status: u16) {
            display("version {generation} was acknowledged, sent again and refused with {status}")
        }
        /// An invalid configuration is acknowledged.
        InvalidAcknowledged(number: u64, flaw: Flaw) {
            display("invalid document {number} ({flaw:?}) was acknowledged")
        }
        /// Two changes upon the same version are acknowledged.
        BothAcknowledged(base: Generation, first: Generation, second: Generation) {
            display("versions {first} and {second} upon {base} were both acknowledged")
        }
        /// A read returns an older version than the newest that was acknowledged longer ago than the bound.
        OldRead(coordinator: String, sent_at: Time, read: Generation, acknowledged: Generation) {
            display("{:.3} s: {coordinator} returns version {read}, {acknowledged} was acknowledged before", sent_at.as_secs_f64())
        }
        /// A read returns a document that differs from what was sent under its number.
        DifferentRead(coordinator: String, sent_at: Time) {
            display("{:.3} s: {coordinator} returns a document that was not sent", sent_at.as_secs_f64())
        }
        /// No coordinator returns a configuration at the end.
        NoRead(coordinator: String) { display("{coordinator} returns no configuration at the end") }
    }
}
