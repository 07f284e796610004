//! Queue of requests that wait for an upstream with capacity.

use std::time::Instant;

struct Entry<T> {
    rank: u8,
    until: Instant,
    item: T,
}

/// Priority queue in which the lowest rank goes first, and the earliest arrival within a rank. The
/// queue absorbs short bursts that exceed the capacity of the upstreams.
pub struct WaitQueue<T> {
    /// Sorted by rank, and by arrival within a rank.
    entries: Vec<Entry<T>>,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self { entries: Vec::new() }
    }
}

impl<T> WaitQueue<T>
where
    T: Clone + PartialEq,
{
    /// Returns the number of queued items.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no item is queued.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds `item`, which expires at `until`.
    pub fn push(&mut self, rank: u8, until: Instant, item: T) {
        let index = self.entries.partition_point(|entry| entry.rank <= rank);
        self.entries.insert(index, Entry { rank, until, item });
    }

    /// Returns all items in the order of the queue.
    pub fn items(&self) -> Vec<T> {
        self.entries.iter().map(|entry| entry.item.clone()).collect()
    }

    /// Removes `item` from the queue.
    pub fn remove(&mut self, item: &T) {
        self.entries.retain(|entry| entry.item != *item);
    }

    /// Removes and returns the items that have expired at `now`.
    pub fn expire(&mut self, now: Instant) -> Vec<T> {
        self.entries.extract_if(.., |entry| entry.until <= now).map(|entry| entry.item).collect()
    }

    /// Returns the earliest time at which an item expires.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.entries.iter().map(|entry| entry.until).min()
    }
}
