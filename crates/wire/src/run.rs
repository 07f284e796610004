//! The number of this instance's run, as its frames carry it.

use std::sync::atomic::{AtomicU64, Ordering};

use names::Incarnation;

/// The present number; it rises when peers remember a greater one.
#[derive(Debug)]
pub struct Run(AtomicU64);

impl Run {
    /// A run with the number `incarnation`.
    pub fn new(incarnation: Incarnation) -> Self {
        Self(AtomicU64::new(incarnation.0))
    }

    /// The number.
    pub fn get(&self) -> Incarnation {
        Incarnation(self.0.load(Ordering::Relaxed))
    }

    /// Raises the number to at least `incarnation`.
    pub fn raise(&self, incarnation: Incarnation) {
        self.0.fetch_max(incarnation.0, Ordering::Relaxed);
    }
}
