//! The loop that runs one thread's actors.

use std::time::{Duration, Instant};

use stakker::Stakker;
use stakker_mio::MioPoll;
use stakker_mio::mio::{Events, Poll};

const EVENTS_AT_ONCE: usize = 1024;
const WAKER_PRIORITY: u32 = 10;
const MAX_WAIT: Duration = Duration::from_secs(60);

/// The operating system refused the event loop.
#[derive(Debug, thiserror::Error)]
#[error("event loop failed: {0}")]
pub struct Error(#[from] std::io::Error);

/// An event loop with its actors.
pub struct Loop {
    stakker: Stakker,
    poll: MioPoll,
}

impl Loop {
    /// An event loop without actors. Actors find its `MioPoll` in the `anymap`.
    ///
    /// # Errors
    ///
    /// When the system gives no more poll descriptors.
    pub fn new() -> Result<Self, Error> {
        let mut stakker = Stakker::new(Instant::now());
        let events = Events::with_capacity(EVENTS_AT_ONCE);
        let poll = MioPoll::new(&mut stakker, Poll::new()?, events, WAKER_PRIORITY)?;
        Ok(Self { stakker, poll })
    }

    /// The runtime in which to create actors.
    pub fn stakker(&mut self) -> &mut Stakker {
        &mut self.stakker
    }

    /// Runs until an actor shuts the runtime down.
    ///
    /// # Errors
    ///
    /// When polling fails.
    pub fn run(&mut self) -> Result<(), Error> {
        let stakker = &mut self.stakker;
        let mut is_idle_pending = stakker.run(Instant::now(), false);
        let mut is_io_pending = false;
        while stakker.not_shutdown() {
            let has_pending = is_idle_pending || is_io_pending;
            let wait = stakker.next_wait_max(Instant::now(), MAX_WAIT, has_pending);
            let (had_activity, has_io) = self.poll.poll(wait)?;
            is_io_pending = has_io;
            is_idle_pending = stakker.run(Instant::now(), !had_activity);
        }
        Ok(())
    }
}
