//! The hold that the owner of a call has on it: cancelling, and room for its answer.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use ureq::Agent;

/// Most bytes of an answer that wait for the owner of the call.
const MAX_WAITING_BYTES: usize = 64 << 10;

#[derive(Default)]
struct State {
    is_cancelled: bool,
    /// The agent that works on this call alone, while it does.
    agent: Option<Agent>,
    waiting_bytes: usize,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    room: Condvar,
}

/// Cancels a call, and paces it.
///
/// The thread of the call stops reading while 64 KiB of the answer wait for the owner, so that
/// a slow owner slows the upstream down and memory stays bounded.
#[derive(Clone, Default)]
pub struct Handle(Arc<Shared>);

impl Handle {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the call: no more events come, and its connection is shut down at once, also while
    /// its thread waits for the upstream.
    pub fn cancel(&self) {
        let agent = {
            let mut state = self.lock();
            state.is_cancelled = true;
            state.agent.take()
        };
        self.0.room.notify_all();
        if let Some(agent) = agent {
            agent.shutdown();
        }
    }

    /// Says that the owner has taken `bytes` of the answer.
    pub fn took(&self, bytes: usize) {
        let mut state = self.lock();
        state.waiting_bytes = state.waiting_bytes.saturating_sub(bytes);
        drop(state);
        self.0.room.notify_all();
    }

    pub(crate) fn is_cancelled(&self) -> bool {
        self.lock().is_cancelled
    }

    /// Notes the agent that works on the call; false when the call is cancelled already.
    pub(crate) fn begin(&self, agent: &Agent) -> bool {
        let mut state = self.lock();
        state.agent = Some(agent.clone());
        !state.is_cancelled
    }

    /// Notes that the call has ended; false when its agent was shut down.
    pub(crate) fn end(&self) -> bool {
        let mut state = self.lock();
        state.agent = None;
        !state.is_cancelled
    }

    /// Counts `bytes` that are about to be reported, once there is room for them; false when
    /// the call is cancelled or the deadline passes before.
    pub(crate) fn reserve(&self, bytes: usize, deadline: Instant) -> bool {
        let mut state = self.lock();
        while state.waiting_bytes >= MAX_WAITING_BYTES && !state.is_cancelled {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            let woken = self.0.room.wait_timeout(state, left);
            state = woken.unwrap_or_else(PoisonError::into_inner).0;
        }
        state.waiting_bytes += bytes;
        !state.is_cancelled
    }
}
