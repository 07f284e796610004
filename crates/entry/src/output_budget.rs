//! Limit on the bytes of answers that callers have not read, over all connections of a server.

use std::cell::RefCell;
use std::rc::Rc;

use stakker::Fwd;

use crate::Hold;

/// Size of unsent output, in bytes, that a connection may have although the output of all
/// connections together has reached its limit. Callers that read their answers have less.
const MIN_OUTPUT_BYTES: usize = 16 << 10;

/// Budget shared by the connections of one server.
#[derive(Clone)]
pub(crate) struct OutputBudget {
    shared: Rc<RefCell<Shared>>,
}

/// Part of the budget that one connection has reserved. Dropping it returns the bytes.
pub(crate) struct OutputReservation {
    shared: Rc<RefCell<Shared>>,
    id: u64,
}

struct Shared {
    limit_bytes: usize,
    reserved_bytes: usize,
    next_id: u64,
    /// Sorted by id.
    holders: Vec<Holder>,
}

struct Holder {
    id: u64,
    bytes: usize,
    /// Bytes in front of the unsent output: in the buffers of the call to the upstream, and in parts
    /// on their way.
    front_bytes: usize,
    /// Memory that is reserved for the unsent output and what is in front of it.
    hold: Hold,
    /// Whether the answer is incomplete, so that it can be ended for others.
    is_displaceable: bool,
    /// Whether the answer has to end, so that its bytes are no longer reserved.
    is_displaced: bool,
    /// Called when the answer has to end.
    displaced: Fwd<()>,
}

impl OutputBudget {
    pub(crate) fn new(limit_bytes: usize) -> Self {
        let holders = Vec::new();
        let shared = Shared { limit_bytes, reserved_bytes: 0, next_id: 0, holders };
        Self { shared: Rc::new(RefCell::new(shared)) }
    }

    /// Returns an empty reservation, for which memory is reserved in `hold`. `displaced` is called
    /// when its answer has to end.
    pub(crate) fn reservation(&self, hold: Hold, displaced: Fwd<()>) -> OutputReservation {
        let mut shared = self.shared.borrow_mut();
        let id = shared.next_id;
        shared.next_id += 1;
        shared.holders.push(Holder {
            id,
            bytes: 0,
            front_bytes: 0,
            hold,
            is_displaceable: false,
            is_displaced: false,
            displaced,
        });
        OutputReservation { shared: self.shared.clone(), id }
    }
}

impl OutputReservation {
    /// Changes the reservation of an answer to `bytes`, and the memory that is reserved for buffers in
    /// front of it to `front_bytes`. If the budget or the memory of the process
    /// does not suffice, the largest incomplete answers end first. Returns false if none is larger than this one; then
    /// this one has to end.
    pub(crate) fn grow(&mut self, bytes: usize, front_bytes: usize) -> bool {
        let mut shared = self.shared.borrow_mut();
        let Some(index) = shared.find(self.id) else {
            return false;
        };
        shared.holders[index].front_bytes = front_bytes;
        let mut has_memory = shared.resize(index, bytes);
        shared.holders[index].is_displaceable = true;
        while (shared.reserved_bytes > shared.limit_bytes || !has_memory)
            && bytes > MIN_OUTPUT_BYTES
        {
            match shared.largest() {
                Some(largest) if largest != index => shared.displace(largest),
                _ => return false,
            }
            has_memory = shared.holders[index].hold.resize(bytes + front_bytes);
        }
        if !has_memory {
            shared.holders[index].hold.force(bytes + front_bytes);
        }
        true
    }

    /// Returns the memory of the buffers in front of the answer, whose call has ended.
    pub(crate) fn release_front(&mut self) {
        let mut shared = self.shared.borrow_mut();
        if let Some(index) = shared.find(self.id) {
            let holder = &mut shared.holders[index];
            holder.front_bytes = 0;
            let bytes = holder.bytes;
            shared.resize(index, bytes);
        }
    }

    /// Changes the reservation to what remains after output was sent.
    pub(crate) fn shrink(&mut self, bytes: usize) {
        let mut shared = self.shared.borrow_mut();
        if let Some(index) = shared.find(self.id) {
            shared.resize(index, bytes);
        }
    }

    /// Keeps the reservation until the caller has read the answer, which is complete.
    pub(crate) fn settle(&mut self) {
        let mut shared = self.shared.borrow_mut();
        if let Some(index) = shared.find(self.id) {
            shared.holders[index].is_displaceable = false;
            shared.holders[index].is_displaced = false;
        }
    }

    /// Returns whether the answer has to end for others.
    pub(crate) fn is_displaced(&self) -> bool {
        let shared = self.shared.borrow();
        shared.find(self.id).is_some_and(|index| shared.holders[index].is_displaced)
    }
}

impl Drop for OutputReservation {
    fn drop(&mut self) {
        let mut shared = self.shared.borrow_mut();
        if let Some(index) = shared.find(self.id) {
            shared.holders[index].front_bytes = 0;
            shared.resize(index, 0);
            shared.holders.remove(index);
        }
    }
}

impl Shared {
    fn find(&self, id: u64) -> Option<usize> {
        self.holders.binary_search_by_key(&id, |holder| holder.id).ok()
    }

    /// Changes the size of a holder. Returns whether memory is reserved for it.
    fn resize(&mut self, index: usize, bytes: usize) -> bool {
        let before = std::mem::replace(&mut self.holders[index].bytes, bytes);
        self.reserved_bytes = self.reserved_bytes - before + bytes;
        let holder = &mut self.holders[index];
        holder.hold.resize(bytes + holder.front_bytes)
    }

    /// Returns the holder of the most bytes of an incomplete answer.
    fn largest(&self) -> Option<usize> {
        let incomplete = self.holders.iter().enumerate().filter(|(_, it)| it.is_displaceable);
        incomplete.max_by_key(|(_, holder)| holder.bytes).map(|(index, _)| index)
    }

    /// Takes the bytes of a holder, whose answer ends in the next step of the event loop.
    fn displace(&mut self, index: usize) {
        self.holders[index].front_bytes = 0;
        self.resize(index, 0);
        let holder = &mut self.holders[index];
        holder.is_displaceable = false;
        holder.is_displaced = true;
        holder.displaced.fwd(());
    }
}
