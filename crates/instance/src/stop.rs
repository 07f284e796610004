//! Requests for a graceful shutdown.

use std::sync::{Arc, Mutex, PoisonError};

use eventloop::Sender;

/// Handle that requests a graceful shutdown of an instance from any thread.
#[derive(Clone, Default)]
pub struct Stop {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Default)]
struct Inner {
    is_requested: bool,
    sender: Option<Sender<()>>,
}

impl Stop {
    /// Requests the shutdown. An instance that has not started yet shuts down right after it
    /// starts.
    pub fn request(&self) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.is_requested = true;
        if let Some(sender) = &inner.sender {
            sender.send(());
        }
    }

    /// Registers the `sender` that notifies the running instance of a shutdown request.
    pub fn connect(&self, sender: Sender<()>) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if inner.is_requested {
            sender.send(());
        }
        inner.sender = Some(sender);
    }
}
