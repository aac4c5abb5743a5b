//! What the agent's state machine requests from its driver.

use crate::ids::LinkId;
use bytes::Bytes;
use control_protocol::{ConfigurationSequence, FromAgent, ToProxy};

/// An action that [`crate::AgentState`] requests from the main loop. Effects are carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Close this link. It is then reopened, and the coordinator sends its complete state.
    Reconnect(LinkId),
    /// Send a message to a coordinator.
    SendToCoordinator(LinkId, FromAgent),
    /// Send a message to the proxy that is connected at present.
    SendToProxy(ToProxy),
    /// Send the configuration to the proxy. Its document may be large, so it is shared and not copied.
    ConfigureProxy(Configuration),
}

/// A configuration as coordinators send it.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// The sequence number; higher is newer.
    pub sequence: ConfigurationSequence,
    /// The operator's JSON document, which the agent does not parse.
    pub document: Bytes,
}
