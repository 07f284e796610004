//! Requests for a graceful shutdown.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use eventloop::Sender;

/// Handle that requests a graceful shutdown of an instance from any thread.
#[derive(Clone, Default)]
pub struct Stop {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Default)]
struct Inner {
    requested_at: Option<Instant>,
    sender: Option<Sender<Instant>>,
}

impl Stop {
    /// Requests the shutdown, which counts from now even if the event loop is busy. An instance
    /// that has not started yet shuts down right after it starts.
    pub fn request(&self) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let requested_at = *inner.requested_at.get_or_insert_with(Instant::now);
        if let Some(sender) = &inner.sender {
            sender.send(requested_at);
        }
    }

    /// Registers the `sender` that notifies the running instance of a shutdown request and of its
    /// time.
    pub fn connect(&self, sender: Sender<Instant>) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(requested_at) = inner.requested_at {
            sender.send(requested_at);
        }
        inner.sender = Some(sender);
    }
}
