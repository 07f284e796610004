//! Memory of the request that a connection receives.

use std::time::Duration;

use stakker::{CX, fwd_to};

use super::{Connection, KEPT_BUFFER_BYTES, Phase};
use crate::memory::{Room, SMALL_BYTES};
use crate::{Problem, Status, Unsent};

/// Value of retry-after when a request is refused because the buffer budget is used up.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Memory, in bytes, that is reserved for a request beside its head and body.
pub(super) const REQUEST_BYTES: usize = 2 << 10;

/// Number of copies of a head that exist while the request is handled: its fields and the head for
/// the upstream.
pub(super) const HEAD_COPIES: usize = 2;

impl Connection {
    /// Returns the number of bytes of the body that have arrived, and the number of bytes of memory
    /// that the request in progress needs, with the bytes that were received and not read yet.
    pub(super) fn input_bytes(&self) -> (usize, usize) {
        match &self.phase {
            Phase::Receiving { body: Some((head, body)) } => {
                let bytes = body.needed_bytes(self.received.len()) * self.bounds.get().body_copies;
                (body.collected_bytes(), bytes + head.length * HEAD_COPIES + REQUEST_BYTES)
            }
            _ => (0, 0),
        }
    }

    /// Reserves the bytes that were received, before they are read. Returns false if there is no room
    /// for them.
    pub(super) fn reserve_input(&mut self) -> bool {
        let (collected, needed) = self.input_bytes();
        self.input.resize(self.received.len() + collected)
            && (self.received.is_empty() && needed == 0
                || self.hold.resize(needed.max(self.received.len())))
    }

    /// Returns the memory of input that is no longer needed. Bytes that were moved into the body are
    /// already reserved.
    pub(super) fn release_input(&mut self) {
        let (collected, needed) = self.input_bytes();
        self.input.resize(self.received.len() + collected);
        self.hold.force(needed.max(self.received.len()));
        if self.received.is_empty() && self.received.capacity() > KEPT_BUFFER_BYTES {
            self.received = Vec::new();
        }
    }

    /// Refuses the request that is being received because the process has no memory for it.
    pub(super) fn refuse_without_memory(&mut self, cx: CX![]) {
        self.refuse_for(cx, "memory", overloaded());
    }

    /// Repeats the reservation of a request for which the process had no memory.
    pub(super) fn make_room(&mut self, cx: CX![], (): ()) {
        if !self.is_waiting {
            return;
        }
        let (_, needed) = self.input_bytes();
        match self.hold.retry(needed) {
            Room::Waiting => {}
            Room::Refused => {
                self.is_waiting = false;
                self.refuse_without_memory(cx);
            }
            Room::Reserved => {
                self.is_waiting = false;
                self.begin_body(cx);
                self.receive(cx);
                self.release_input();
                self.read(cx);
            }
        }
    }

    /// Drops the bytes after the current request. The connection closes after the answer in
    /// progress, so that the caller knows that the next request was not read.
    pub(super) fn drop_next_request(&mut self) {
        self.received = Vec::new();
        self.input.resize(0);
        self.hold.force(0);
        self.is_draining = true;
        if let Phase::Answering { keeps_alive, .. } = &mut self.phase {
            *keeps_alive = false;
        }
    }

    /// Reserves the memory of a request whose head has arrived. Returns true if its body may be
    /// read.
    pub(super) fn reserve_request(&mut self, cx: CX![]) -> bool {
        let (_, needed) = self.input_bytes();
        let room = match needed.max(self.received.len()) {
            small if small <= SMALL_BYTES => match self.hold.resize(small) {
                true => Room::Reserved,
                false => Room::Refused,
            },
            large => {
                let room = fwd_to!([cx], make_room() as (()));
                self.hold.reserve_in_turn(large, room)
            }
        };
        match room {
            Room::Reserved => self.begin_body(cx),
            Room::Waiting => self.is_waiting = true,
            Room::Refused => self.refuse_without_memory(cx),
        }
        room == Room::Reserved
    }

    /// Returns the memory of a request that is not answered.
    pub(super) fn discard_input(&mut self) {
        self.received = Vec::new();
        self.input.resize(0);
        self.is_waiting = false;
        self.hold.stop_waiting();
        self.hold.force(0);
    }
}

/// Refusal of a request because the buffer budget of incomplete requests is used up.
fn overloaded() -> Problem {
    let message = "too many requests are arriving at once; ask again later";
    Problem::not_run(&Unsent::new(), Status::UNAVAILABLE, "crowded", message)
        .with_retry_after(OVERLOAD_RETRY_AFTER)
}
