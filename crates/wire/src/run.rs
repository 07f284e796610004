//! The incarnation of this instance, which its frames carry.

use std::sync::atomic::{AtomicU64, Ordering};

use names::Incarnation;

/// Current incarnation of this instance. It is raised when peers know a greater one.
#[derive(Debug)]
pub struct Run(AtomicU64);

impl Run {
    /// Starts with `incarnation`.
    pub fn new(incarnation: Incarnation) -> Self {
        Self(AtomicU64::new(incarnation.0))
    }

    /// Returns the current incarnation.
    pub fn get(&self) -> Incarnation {
        Incarnation(self.0.load(Ordering::Relaxed))
    }

    /// Raises the incarnation to at least `incarnation`.
    pub fn raise(&self, incarnation: Incarnation) {
        self.0.fetch_max(incarnation.0, Ordering::Relaxed);
    }
}
