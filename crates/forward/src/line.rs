//! Requests that wait for an upstream with room.

use std::time::Instant;

struct Place<T> {
    rank: u8,
    until: Instant,
    item: T,
}

/// A line in which the lower rank goes first, and the earlier arrival within a rank. It answers
/// short bursts above what the upstreams have room for.
pub struct Line<T> {
    /// Sorted by rank, and by arrival within one.
    places: Vec<Place<T>>,
}

impl<T> Default for Line<T> {
    fn default() -> Self {
        Self { places: Vec::new() }
    }
}

impl<T> Line<T>
where
    T: Clone + PartialEq,
{
    /// How many wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Adds `item`, which is given up at `until`.
    pub fn push(&mut self, rank: u8, until: Instant, item: T) {
        let place = self.places.partition_point(|place| place.rank <= rank);
        self.places.insert(place, Place { rank, until, item });
    }

    /// Everyone in line, the first first.
    pub fn items(&self) -> Vec<T> {
        self.places.iter().map(|place| place.item.clone()).collect()
    }

    /// Takes `item` out.
    pub fn remove(&mut self, item: &T) {
        self.places.retain(|place| place.item != *item);
    }

    /// Takes out those who were not served in time.
    pub fn expire(&mut self, now: Instant) -> Vec<T> {
        self.places.extract_if(.., |place| place.until <= now).map(|place| place.item).collect()
    }

    /// When the next one is given up.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.places.iter().map(|place| place.until).min()
    }
}
