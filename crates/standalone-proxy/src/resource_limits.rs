//! Divides the file descriptors and the memory that a node may use between clients and backends. Opens
//! nothing.

/// Descriptors for the listener, discovery, the runtime and the standard streams.
const RESERVED_DESCRIPTORS: usize = 32;
/// The memory that a client's connection occupies apart from its request and response, in KiB: hyper's read
/// and write buffers and a head.
const CLIENT_CONNECTION_KIB: usize = 48;

/// The resource limits of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// The maximum number of client connections.
    pub max_clients: usize,
    /// The maximum number of connections to backends.
    pub max_backend_connections: usize,
    /// The memory that buffered bodies and responses may occupy, in KiB.
    pub body_memory_kib: usize,
}

impl ResourceLimits {
    /// Divides `descriptors`, which must be more than the 32 reserved ones, and `memory_kib`.
    ///
    /// A third of the descriptors is for clients, or fewer if a quarter of the memory does not suffice for
    /// that many connections. Further clients are not accepted. Half of the memory is for bodies in flight.
    pub fn new(descriptors: usize, memory_kib: usize) -> Self {
        let available = descriptors - RESERVED_DESCRIPTORS;
        let max_clients = (available / 3).min(memory_kib / 4 / CLIENT_CONNECTION_KIB).max(1);
        ResourceLimits {
            max_clients,
            max_backend_connections: available - max_clients,
            body_memory_kib: memory_kib / 2,
        }
    }
}

#[cfg(test)]
mod tests;
