//! Confirms that the caller of a request still waits for its answer.
//!
//! A caller that gets no answer closes the connection, sends the request to another instance and goes
//! on. A request that was held up, by a link or by a pause of this process, may be read after all that.
//! The end of its connection then follows it.

use std::time::{Duration, Instant};

use names::Request;

/// Time between two checks: the end of a connection follows the last request within one round trip to
/// the caller.
const CHECK_DELAY: Duration = Duration::from_millis(50);

/// Number of checks after the first one. If the process pauses between two checks, the later one takes
/// place before the sockets are read again, so that only the next one sees the end of the connection.
const CHECKS: u32 = 2;

/// Progress of the confirmation of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Confirmation {
    checks_left: u32,
}

/// What to do next with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// Check again at this time.
    CheckAt(Instant, Confirmation),
    /// Handle the request, since its caller waits.
    Proceed,
    /// Ignore the request, since its caller has left.
    Ignore,
}

/// Requests whose callers wait for an answer.
#[derive(Debug, Default)]
pub(super) struct Callers {
    /// Sorted.
    waiting: Vec<Request>,
}

impl Callers {
    /// Adds a request whose caller is connected.
    pub(super) fn add(&mut self, request: Request) {
        if let Err(index) = self.waiting.binary_search(&request) {
            self.waiting.insert(index, request);
        }
    }

    /// Removes a request that is answered, or whose caller has left.
    pub(super) fn remove(&mut self, request: Request) {
        if let Ok(index) = self.waiting.binary_search(&request) {
            self.waiting.remove(index);
        }
    }

    /// Returns the next step of a confirmation.
    pub(super) fn next_step(
        &self,
        now: Instant,
        request: Request,
        confirmation: Confirmation,
    ) -> Step {
        let is_waiting = self.waiting.binary_search(&request).is_ok();
        match confirmation.checks_left.checked_sub(1) {
            _ if !is_waiting => Step::Ignore,
            Some(checks_left) => Step::CheckAt(now + CHECK_DELAY, Confirmation { checks_left }),
            None => Step::Proceed,
        }
    }
}

impl Default for Confirmation {
    fn default() -> Self {
        Self { checks_left: CHECKS }
    }
}
