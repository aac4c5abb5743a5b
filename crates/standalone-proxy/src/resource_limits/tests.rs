//! Unit tests of the private items of the parent module.

use super::*;

#[test]
fn clients_get_a_third_of_the_descriptors_as_far_as_memory_allows() {
    let limits = ResourceLimits::new(1024, 192 << 10);
    let expected =
        ResourceLimits { max_clients: 330, max_backend_connections: 662, body_memory_kib: 96 << 10 };
    assert_eq!(limits, expected);
    let little_memory = ResourceLimits::new(1024, 4 << 10);
    assert_eq!((little_memory.max_clients, little_memory.max_backend_connections), (21, 971));
    assert_eq!(ResourceLimits::new(64, 0).max_clients, 1, "a node serves at least one client");
}
