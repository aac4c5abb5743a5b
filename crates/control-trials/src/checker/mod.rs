//! Rule CONFIG, sentence by sentence, judged by the record alone.

mod added_routes;
mod in_force;
mod operator;
mod regression;
mod violation;

pub use violation::Violation;

use crate::contact::Contact;
use crate::history::History;
use std::time::Duration;

/// The setting `config_apply_ms`: how long an acknowledged version may take to be in force.
pub const APPLY_BOUND: Duration = Duration::from_millis(2000);
/// The setting `max_skew_ms`: by how much an unstable core stretches that at most.
pub const UNSTABLE_CORE_EXTENSION: Duration = Duration::from_millis(5000);
/// The setting `rollback_slack_ms`: how long after a machine has shown a version it may still show an older one.
pub const ROLLBACK_SLACK: Duration = Duration::from_millis(250);

/// All violations of the rule in a record.
pub fn violations(history: &History) -> Vec<Violation> {
    let contact = Contact::new(history);
    let mut found = operator::violations(history);
    found.extend(in_force::violations(history, &contact));
    found.extend(regression::violations(history));
    found.extend(added_routes::violations(history, &contact));
    found
}
