//! Events that an agent's connection tasks send to its main loop.

use crate::ids::{LinkId, ProxyId};
use control_link::FrameWriter;
use control_protocol::{ConfigurationSequence, FromProxy, ToAgent};
use std::net::SocketAddrV4;

/// An event on a connection to a coordinator or from a proxy.
#[derive(Debug)]
pub enum Event {
    /// A coordinator has sent its first message on a new link.
    CoordinatorConnected {
        /// The id of the new link.
        id: LinkId,
        /// The address to which the link was opened.
        address: SocketAddrV4,
        /// The sending half of the link, on which the main loop sends its messages.
        outgoing: FrameWriter,
    },
    /// A coordinator has sent a message.
    CoordinatorMessage(LinkId, ToAgent),
    /// A link to a coordinator has ended.
    CoordinatorDisconnected(LinkId),
    /// A proxy has connected and sent the first message of the connection.
    ProxyConnected {
        /// The id of the connection from the proxy.
        id: ProxyId,
        /// The sequence number of the configuration in force at the proxy; 0 for none.
        in_force: ConfigurationSequence,
        /// The sending half of the connection.
        outgoing: FrameWriter,
    },
    /// A proxy has sent a message after its hello.
    ProxyMessage(ProxyId, FromProxy),
    /// A connection from a proxy has ended.
    ProxyDisconnected(ProxyId),
}
