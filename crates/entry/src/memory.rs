//! Budget for the memory that a process holds for callers, operators and upstreams.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::IpAddr;
use std::rc::Rc;

use stakker::Fwd;

/// Part of the memory of the process that is the budget. The rest is for the program itself, for
/// what the allocator keeps, and for buffers whose size does not depend on callers.
const BUDGET_DIVISOR: usize = 2;

/// Part of the budget that only small reservations may use.
const SMALL_SHARE_DIVISOR: usize = 4;

/// Part of the budget that a single address cannot use.
const OTHER_CALLERS_DIVISOR: usize = 8;

/// Largest size in bytes of a reservation that may use the whole budget.
pub const SMALL_BYTES: usize = 64 << 10;

/// Budget of a process, shared by all servers of its event loop.
#[derive(Clone)]
pub struct Memory {
    shared: Rc<Shared>,
}

struct Shared {
    total_bytes: usize,
    /// Bytes up to which reservations above [`SMALL_BYTES`] may fill the budget.
    large_bytes: usize,
    /// Maximum number of bytes of one address, and up to which unsent answers may fill the budget.
    caller_bytes: usize,
    reserved_bytes: Cell<usize>,
    refusals: Cell<u64>,
    callers: RefCell<BTreeMap<IpAddr, CallerBytes>>,
    /// Reservations that wait for room, the first one at the front.
    waiters: RefCell<VecDeque<Waiter>>,
    last_waiter: Cell<u64>,
}

/// Bytes that are reserved for one address.
struct CallerBytes {
    reserved_bytes: Rc<Cell<usize>>,
    /// Number of [`Caller`]s of the address.
    users: usize,
}

struct Waiter {
    id: u64,
    /// Called when bytes were returned.
    room: Fwd<()>,
}

/// An address for which memory is reserved.
pub struct Caller {
    shared: Rc<Shared>,
    address: IpAddr,
    reserved_bytes: Rc<Cell<usize>>,
}

/// Part of the budget that is reserved. Dropping it returns the bytes.
pub struct Hold {
    caller: Rc<Caller>,
    bytes: usize,
    /// Whether the bytes are those of answers. Requests are refused before the answers to others
    /// are.
    is_output: bool,
    /// Number of the waiter, while the reservation waits for room.
    waiter: Option<u64>,
}

/// Outcome of a reservation that may wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Room {
    /// The bytes are reserved.
    Reserved,
    /// The budget has no room at present.
    Waiting,
    /// The reservation exceeds a limit that waiting does not change.
    Refused,
}

impl Memory {
    /// Creates the budget of a process that may use `memory_bytes` bytes in total.
    pub fn new(memory_bytes: usize) -> Self {
        let total_bytes = memory_bytes / BUDGET_DIVISOR;
        Self {
            shared: Rc::new(Shared {
                total_bytes,
                large_bytes: total_bytes - total_bytes / SMALL_SHARE_DIVISOR,
                caller_bytes: total_bytes - total_bytes / OTHER_CALLERS_DIVISOR,
                reserved_bytes: Cell::new(0),
                refusals: Cell::new(0),
                callers: RefCell::default(),
                waiters: RefCell::default(),
                last_waiter: Cell::new(0),
            }),
        }
    }

    /// Returns the number of bytes that are reserved.
    pub fn reserved_bytes(&self) -> usize {
        self.shared.reserved_bytes.get()
    }

    /// Returns the size of the budget in bytes.
    pub fn total_bytes(&self) -> usize {
        self.shared.total_bytes
    }

    /// Returns the number of bytes up to which reservations above [`SMALL_BYTES`] may fill the
    /// budget.
    pub fn large_bytes(&self) -> usize {
        self.shared.large_bytes
    }

    /// Returns the number of reservations that did not fit so far.
    pub fn refusals(&self) -> u64 {
        self.shared.refusals.get()
    }

    /// Returns the address `address` as one for which memory is reserved.
    pub fn caller(&self, address: IpAddr) -> Rc<Caller> {
        let mut callers = self.shared.callers.borrow_mut();
        let bytes = callers
            .entry(address)
            .or_insert_with(|| CallerBytes { reserved_bytes: Rc::default(), users: 0 });
        bytes.users += 1;
        let reserved_bytes = bytes.reserved_bytes.clone();
        Rc::new(Caller { shared: self.shared.clone(), address, reserved_bytes })
    }
}

impl Caller {
    /// Returns an empty reservation.
    pub fn hold(self: &Rc<Self>) -> Hold {
        Hold { caller: self.clone(), bytes: 0, is_output: false, waiter: None }
    }

    /// Returns an empty reservation for unsent answers.
    pub fn output_hold(self: &Rc<Self>) -> Hold {
        Hold { caller: self.clone(), bytes: 0, is_output: true, waiter: None }
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        let mut callers = self.shared.callers.borrow_mut();
        if let Some(bytes) = callers.get_mut(&self.address) {
            bytes.users -= 1;
            if bytes.users == 0 {
                callers.remove(&self.address);
            }
        }
    }
}

impl Shared {
    /// Tells the first waiter that bytes were returned.
    fn wake_first(&self) {
        if let Some(waiter) = self.waiters.borrow().front() {
            waiter.room.fwd(());
        }
    }
}

impl Hold {
    /// Returns the number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns whether a reservation of `bytes` bytes fits into an empty budget.
    pub fn may_ever_be(&self, bytes: usize) -> bool {
        bytes <= self.caller.shared.large_bytes
    }

    /// Changes the reservation to `bytes`. Returns false and keeps the old size if the budget does
    /// not suffice.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let fits = bytes <= self.bytes || self.fit(bytes) == Room::Reserved;
        match fits {
            true => self.set(bytes),
            false => self.count_refusal(),
        }
        fits
    }

    /// Changes the reservation to `bytes` even if the budget does not suffice, for bytes that are
    /// already in memory. Other reservations find less room then.
    pub fn force(&mut self, bytes: usize) {
        self.set(bytes);
    }

    /// Changes the reservation to `bytes`, after all reservations that already wait. If there is no
    /// room, the reservation waits, and `room` is called when [`Self::retry`] may succeed.
    pub fn reserve_in_turn(&mut self, bytes: usize, room: Fwd<()>) -> Room {
        let shared = self.caller.shared.clone();
        let is_first = bytes <= SMALL_BYTES || shared.waiters.borrow().is_empty();
        let fit = match self.fit(bytes) {
            Room::Reserved if !is_first => Room::Waiting,
            fit => fit,
        };
        match fit {
            Room::Reserved => self.set(bytes),
            Room::Waiting => {
                let id = shared.last_waiter.get() + 1;
                shared.last_waiter.set(id);
                shared.waiters.borrow_mut().push_back(Waiter { id, room });
                self.waiter = Some(id);
            }
            Room::Refused => self.count_refusal(),
        }
        fit
    }

    /// Repeats the reservation of a waiter. It no longer waits unless the result is
    /// [`Room::Waiting`].
    pub fn retry(&mut self, bytes: usize) -> Room {
        let is_first = {
            let waiters = self.caller.shared.waiters.borrow();
            waiters.front().map(|waiter| waiter.id) == self.waiter
        };
        let fit = if is_first { self.fit(bytes) } else { Room::Waiting };
        match fit {
            Room::Waiting => return fit,
            Room::Reserved => self.set(bytes),
            Room::Refused => self.count_refusal(),
        }
        self.stop_waiting();
        fit
    }

    /// Ends the wait for room, if the reservation waits.
    pub fn stop_waiting(&mut self) {
        if let Some(id) = self.waiter.take() {
            let shared = &self.caller.shared;
            shared.waiters.borrow_mut().retain(|waiter| waiter.id != id);
            shared.wake_first();
        }
    }

    /// Moves up to `bytes` bytes to a reservation of their own.
    pub fn split(&mut self, bytes: usize) -> Self {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Self { caller: self.caller.clone(), bytes, is_output: self.is_output, waiter: None }
    }

    /// Returns whether the reservation can grow or shrink to `bytes`.
    fn fit(&self, bytes: usize) -> Room {
        let shared = &self.caller.shared;
        let limit = match self.is_output {
            _ if bytes <= SMALL_BYTES => shared.total_bytes,
            true => shared.caller_bytes,
            false => shared.large_bytes,
        };
        let others = shared.reserved_bytes.get() - self.bytes;
        let others_of_caller = self.caller.reserved_bytes.get() - self.bytes;
        if bytes > limit || bytes > shared.caller_bytes {
            return Room::Refused;
        }
        match others + bytes <= limit && others_of_caller + bytes <= shared.caller_bytes {
            true => Room::Reserved,
            false => Room::Waiting,
        }
    }

    fn set(&mut self, bytes: usize) {
        let shared = &self.caller.shared;
        shared.reserved_bytes.set(shared.reserved_bytes.get() - self.bytes + bytes);
        let of_caller = &self.caller.reserved_bytes;
        of_caller.set(of_caller.get() - self.bytes + bytes);
        let is_smaller = bytes < self.bytes;
        self.bytes = bytes;
        if is_smaller {
            shared.wake_first();
        }
    }

    fn count_refusal(&self) {
        let refusals = &self.caller.shared.refusals;
        refusals.set(refusals.get() + 1);
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.stop_waiting();
        self.set(0);
    }
}
