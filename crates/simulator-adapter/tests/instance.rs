//! Panics of the balancer are caught.

use simulator_adapter::instance::{InstanceError, catch_panic};

#[test]
fn a_panic_is_caught_and_returned_as_its_message() {
    assert_eq!(catch_panic(|| ()), Ok(()));
    assert_eq!(catch_panic(|| panic!("plain")), Err(InstanceError::Panic("plain".into())));
    assert_eq!(catch_panic(|| panic!("number {}", 7)), Err(InstanceError::Panic("number 7".into())));
}
