//! Requests that arrive at an instance which has just started and cannot serve them yet.
//!
//! After a restart of all instances, an instance learns the catalogue and the upstreams about a
//! second later. Callers that were refused meanwhile came back to other instances that were not
//! ready either, and gave up. The requests wait instead, as long as they can still be answered.

use std::time::{Duration, Instant};

/// Part of a request's remaining time that it may wait. The other half remains for an upstream, or
/// for a retry of the caller at another instance.
const MAX_WAIT_DIVISOR: u32 = 2;

/// Maximum number of requests that wait.
const MAX_REQUESTS: usize = 512;

/// Maximum total size of the bodies of the requests that wait, in bytes: two of the largest size,
/// and a small part of the memory of the smallest machine.
const MAX_BYTES: usize = 8 << 20;

/// What happens to a request that an instance cannot serve yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartupDecision {
    /// The request waits until this time.
    Wait(Instant),
    /// The request is refused at once.
    Refuse,
}

struct Waiting<T> {
    bytes: usize,
    until: Instant,
    item: T,
}

/// The requests that wait for the end of the startup of an instance, in the order of their arrival.
pub struct StartupQueue<T> {
    /// Time until which the startup should have ended.
    end: Instant,
    waiting: Vec<Waiting<T>>,
}

impl<T> StartupQueue<T> {
    /// Creates the queue of an instance that should be ready by `end`.
    pub fn new(end: Instant) -> Self {
        Self { end, waiting: Vec::new() }
    }

    /// Returns what happens to a request that arrives at `now` with a body of `bytes` bytes, and has
    /// to be answered within `time_left` if that is known.
    pub fn decide(
        &self,
        now: Instant,
        time_left: Option<Duration>,
        bytes: usize,
    ) -> StartupDecision {
        let held_bytes: usize = self.waiting.iter().map(|waiting| waiting.bytes).sum();
        let has_room = self.waiting.len() < MAX_REQUESTS && held_bytes + bytes <= MAX_BYTES;
        let own_end = time_left.map_or(self.end, |time_left| now + time_left / MAX_WAIT_DIVISOR);
        let until = own_end.min(self.end);
        match has_room && now < until {
            true => StartupDecision::Wait(until),
            false => StartupDecision::Refuse,
        }
    }

    /// Adds a request with a body of `bytes` bytes that waits until `until`.
    pub fn push(&mut self, until: Instant, bytes: usize, item: T) {
        self.waiting.push(Waiting { bytes, until, item });
    }

    /// Removes and returns all requests, because the instance has become ready.
    pub fn take_all(&mut self) -> Vec<T> {
        std::mem::take(&mut self.waiting).into_iter().map(|waiting| waiting.item).collect()
    }

    /// Removes and returns the requests that have waited as long as they may.
    pub fn take_expired(&mut self, now: Instant) -> Vec<T> {
        let expired = self.waiting.extract_if(.., |waiting| waiting.until <= now);
        expired.map(|waiting| waiting.item).collect()
    }

    /// Removes and returns the requests for which `is_removed` returns true.
    pub fn remove<R>(&mut self, is_removed: R) -> Vec<T>
    where
        R: Fn(&T) -> bool,
    {
        let removed = self.waiting.extract_if(.., |waiting| is_removed(&waiting.item));
        removed.map(|waiting| waiting.item).collect()
    }

    /// Returns the earliest time at which a request has waited as long as it may.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.waiting.iter().map(|waiting| waiting.until).min()
    }
}
