//! Event loop that runs the actors of one thread.

use std::time::{Duration, Instant};

use stakker::Stakker;
use stakker_mio::MioPoll;
use stakker_mio::mio::{Events, Poll};

/// Maximum number of I/O events that one poll returns.
const EVENT_CAPACITY: usize = 1024;
/// Priority of the waker that mailboxes use.
const WAKER_PRIORITY: u32 = 10;
/// Longest time that one poll waits for events.
const MAX_POLL_WAIT: Duration = Duration::from_secs(60);

/// Error from the poll operations of the event loop.
#[derive(Debug, thiserror::Error)]
#[error("event loop failed: {0}")]
pub struct Error(#[from] std::io::Error);

/// Event loop with the actor runtime that it drives.
pub struct Loop {
    stakker: Stakker,
    poll: MioPoll,
}

impl Loop {
    /// Creates an event loop without actors. Actors find its `MioPoll` in the `anymap`.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system cannot create the poll descriptor.
    pub fn new() -> Result<Self, Error> {
        let mut stakker = Stakker::new(Instant::now());
        let events = Events::with_capacity(EVENT_CAPACITY);
        let poll = MioPoll::new(&mut stakker, Poll::new()?, events, WAKER_PRIORITY)?;
        Ok(Self { stakker, poll })
    }

    /// Returns the actor runtime.
    pub fn stakker(&mut self) -> &mut Stakker {
        &mut self.stakker
    }

    /// Runs until an actor shuts the runtime down.
    ///
    /// # Errors
    ///
    /// Returns an error if polling fails.
    pub fn run(&mut self) -> Result<(), Error> {
        let stakker = &mut self.stakker;
        let mut is_idle_pending = stakker.run(Instant::now(), false);
        let mut is_io_pending = false;
        while stakker.not_shutdown() {
            let has_pending = is_idle_pending || is_io_pending;
            let wait = stakker.next_wait_max(Instant::now(), MAX_POLL_WAIT, has_pending);
            let (had_activity, has_io) = self.poll.poll(wait)?;
            is_io_pending = has_io;
            is_idle_pending = stakker.run(Instant::now(), !had_activity);
        }
        Ok(())
    }
}
