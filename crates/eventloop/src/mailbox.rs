//! Mailboxes, through which other threads send messages to actors.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use stakker::{Core, Fwd, Stakker};

/// Sends messages into the event loop; may be used on any thread.
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
    /// Sends `message`; it is lost when the event loop has ended.
    pub fn send(&self, message: M) {
        let mut queue = lock(&self.queue);
        queue.push(message);
        if queue.len() == 1 {
            self.waker.wake();
        }
    }
}

/// Opens a mailbox whose messages go to `receiver`.
pub fn mailbox<M>(core: &mut Core, receiver: Fwd<M>) -> Sender<M>
where
    M: Send + 'static,
{
    let queue = Arc::new(Mutex::new(Vec::new()));
    let inbox = queue.clone();
    let waker = core.waker(move |_: &mut Stakker, _| {
        let messages = std::mem::take(&mut *lock(&inbox));
        for message in messages {
            receiver.fwd(message);
        }
    });
    Sender { queue, waker: Arc::new(waker) }
}
