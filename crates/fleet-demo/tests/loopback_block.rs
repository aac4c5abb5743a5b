//! Fleets that run at the same time have blocks of addresses of their own.

use fleet_demo::loopback_block::LoopbackBlock;

/// Any number; the search starts at the block with it.
const FIRST: u32 = 31_337;

/// Two fleets had the same block when the machines of the first were down while the second looked for one, and
/// took each other's requests.
#[test]
fn a_block_whose_machines_are_down_is_not_given_to_another_fleet() {
    let (first, reservation) = LoopbackBlock::reserve(FIRST, |_| []).expect("a block");
    let (second, _reservation) = LoopbackBlock::reserve(FIRST, |_| []).expect("a block");
    assert_ne!(first, second);
    drop(reservation);
    let (third, _reservation) = LoopbackBlock::reserve(FIRST, |_| []).expect("a block");
    assert_eq!(third, first);
}
