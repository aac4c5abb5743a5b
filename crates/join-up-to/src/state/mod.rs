//! The state of servers, requests and classes, without decision logic.

mod classes;
mod fleet;
mod on_time;
mod request;
mod server;
mod token_bucket;
mod usual_cost;

pub use classes::{ClassSlot, Classes};
pub use fleet::Fleet;
pub use on_time::OnTimeRates;
pub use request::{Attempt, Request};
pub use server::{Capacity, ReportedLoad, Server};
pub use token_bucket::TokenBucket;
pub use usual_cost::AverageCost;
