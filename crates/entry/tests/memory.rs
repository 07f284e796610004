//! Checks the shares of the memory budget and the order of those that wait for room.

#![allow(clippy::unwrap_used)]

use std::cell::Cell;
use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;

use entry::{Memory, Room, SMALL_BYTES};
use stakker::Fwd;

/// Memory of the process in bytes, of which the budget is one half.
const MEMORY: usize = 64 << 20;

fn address(number: u8) -> IpAddr {
    Ipv4Addr::new(127, 0, 0, number).into()
}

/// Returns a notification, and the number of times that it was sent.
fn counter() -> (Fwd<()>, Rc<Cell<usize>>) {
    let count = Rc::new(Cell::new(0));
    let counted = count.clone();
    (Fwd::new(move |()| counted.set(counted.get() + 1)), count)
}

/// Guards against large requests that leave no room for small ones.
#[test]
fn large_reservations_leave_room_for_small_ones() {
    let memory = Memory::new(MEMORY);
    let caller = memory.caller(address(1));
    let mut large = caller.hold();
    assert!(large.resize(memory.large_bytes()));
    let mut other = caller.hold();
    assert!(!other.resize(SMALL_BYTES + 1));
    assert!(other.resize(SMALL_BYTES));
}

/// Guards against one address that takes the whole budget with small requests.
#[test]
fn small_reservations_of_one_address_leave_room_for_another() {
    let memory = Memory::new(MEMORY);
    let caller = memory.caller(address(1));
    let mut holds = Vec::new();
    loop {
        let mut hold = caller.hold();
        if !hold.resize(SMALL_BYTES) {
            break;
        }
        holds.push(hold);
    }
    assert!(memory.reserved_bytes() < memory.total_bytes());
    assert!(memory.caller(address(2)).hold().resize(SMALL_BYTES));
}

/// Guards against bytes that stay reserved after their owner is gone.
#[test]
fn dropped_reservations_return_all_bytes() {
    let memory = Memory::new(MEMORY);
    let caller = memory.caller(address(1));
    let mut hold = caller.hold();
    assert!(hold.resize(100_000));
    let part = hold.split(60_000);
    assert_eq!((hold.bytes(), part.bytes()), (40_000, 60_000));
    let mut forced = caller.output_hold();
    forced.force(MEMORY);
    drop((hold, part, forced, caller));
    assert_eq!(memory.reserved_bytes(), 0);
}

/// Guards against a late request that takes the room for which an earlier one waits, and against
/// one that is not told of room because the one before it has left.
#[test]
fn reservations_that_wait_get_room_in_order() {
    let memory = Memory::new(MEMORY);
    let caller = memory.caller(address(1));
    let half = memory.large_bytes() / 2;
    let (mut first, mut second, mut third) = (caller.hold(), caller.hold(), caller.hold());
    let mut holder = caller.hold();
    assert!(holder.resize(memory.large_bytes()));
    let (room, told_first) = counter();
    assert_eq!(first.reserve_in_turn(2 * half, room), Room::Waiting);
    let (room, told_second) = counter();
    assert_eq!(second.reserve_in_turn(half, room), Room::Waiting);
    holder.force(half);
    assert!(told_first.get() > 0);
    assert_eq!(first.retry(2 * half), Room::Waiting);
    assert_eq!(second.retry(half), Room::Waiting);
    let (room, _) = counter();
    assert_eq!(third.reserve_in_turn(half, room), Room::Waiting);
    drop(first);
    assert!(told_second.get() > 0);
    assert_eq!(second.retry(half), Room::Reserved);
    assert_eq!(third.retry(half), Room::Waiting);
    drop(holder);
    assert_eq!(third.retry(half), Room::Reserved);
}
