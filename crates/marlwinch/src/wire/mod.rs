//! What both sides pass on: bodies on their way, connections that have switched protocols, the fields that the node reads or
//! writes. Knows neither clients nor boxes.

pub mod body;
pub mod headers;
pub mod shared;
pub mod stream_end;
pub mod tunnel;
