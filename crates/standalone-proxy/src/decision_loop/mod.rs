//! The task that owns the balancer, passes events to it and carries out its actions. Decides nothing and
//! reads no socket.

pub mod admission_gate;
pub mod clock;
pub mod event;
pub mod list_requests;
pub mod node;
pub mod open_requests;
