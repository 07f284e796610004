//! Planned stops.

use std::sync::{Arc, Mutex, PoisonError};

use eventloop::Sender;

/// Asks a running instance for a planned stop, from any thread.
#[derive(Clone, Default)]
pub struct Stop {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Default)]
struct Inner {
    is_asked: bool,
    sender: Option<Sender<()>>,
}

impl Stop {
    /// Asks for the stop; asked before the start, the instance stops right after it.
    pub fn ask(&self) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.is_asked = true;
        if let Some(sender) = &inner.sender {
            sender.send(());
        }
    }

    /// Connects the stop with the running instance.
    pub fn connect(&self, sender: Sender<()>) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if inner.is_asked {
            sender.send(());
        }
        inner.sender = Some(sender);
    }
}
