//! Mailboxes through which other threads send messages to actors.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use stakker::{Core, Fwd, Stakker};

/// Sender of messages into the event loop, which can be used on any thread.
pub struct Sender<M> {
    queue: Arc<Mutex<Vec<M>>>,
    waker: Arc<stakker::sync::Waker>,
}

impl<M> Clone for Sender<M> {
    fn clone(&self) -> Self {
        Self { queue: self.queue.clone(), waker: self.waker.clone() }
    }
}

fn lock<M>(queue: &Mutex<Vec<M>>) -> MutexGuard<'_, Vec<M>> {
    queue.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<M> Sender<M> {
    /// Sends `message`. The message is lost if the event loop has ended.
    pub fn send(&self, message: M) {
        let mut queue = lock(&self.queue);
        queue.push(message);
        if queue.len() == 1 {
            self.waker.wake();
        }
    }
}

/// Creates a mailbox whose messages are passed to `receiver`.
pub fn mailbox<M>(core: &mut Core, receiver: Fwd<M>) -> Sender<M>
where
    M: Send + 'static,
{
    let queue = Arc::new(Mutex::new(Vec::new()));
    let receiving_queue = queue.clone();
    let waker = core.waker(move |_: &mut Stakker, _| {
        let messages = std::mem::take(&mut *lock(&receiving_queue));
        for message in messages {
            receiver.fwd(message);
        }
    });
    Sender { queue, waker: Arc::new(waker) }
}
