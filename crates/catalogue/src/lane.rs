//! Admission and pacing of document reads by operators on the slow link of a control instance.

use std::time::{Duration, Instant};

use names::{Instance, Request};

/// Fraction of the link bandwidth that document reads may use. Votes and heartbeats of the
/// replicated log are sent between the slices.
const LINK_SHARE: f64 = 0.9;

/// Transmission time of one slice. Messages of the replicated log can be delayed by this time.
const SLICE_DURATION: Duration = Duration::from_millis(20);

/// Longest period for which unused bandwidth is made up after a delay of the event loop.
const MAX_CATCH_UP: Duration = Duration::from_millis(100);

/// Deadline for a complete response. Clients try another instance after 1 second.
const RESPONSE_DEADLINE: Duration = Duration::from_millis(950);

/// Maximum number of redirections of one request. Clients of operators follow at most two.
const MAX_REDIRECTS: u32 = 2;

/// Decision about a request to read the document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Course {
    /// This instance sends the response.
    Here,
    /// The request is redirected to the given instance.
    Elsewhere(Instance),
    /// The request is rejected; the link has capacity again after the given time.
    Later(Duration),
}

/// The next part of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slice {
    /// The request that the response belongs to.
    pub request: Request,
    /// Number of bytes to send now.
    pub bytes: usize,
    /// Whether this slice completes the response.
    pub is_last: bool,
}

struct PendingResponse {
    request: Request,
    remaining_bytes: usize,
}

/// Queue of responses that are sent one at a time, paced to the bandwidth of the link.
///
/// If two large documents shared the link, each would take twice as long and both would miss the
/// deadline.
pub struct Lane {
    bytes_per_second: f64,
    /// Responses that are not sent completely, in sending order.
    pending: Vec<PendingResponse>,
    /// Time until which the slices sent so far use the bandwidth.
    used_until: Option<Instant>,
    /// Instances that requests were redirected to, each with the time until which that instance is
    /// assumed to be busy with the redirected request.
    redirected: Vec<(Instance, Instant)>,
}

impl Lane {
    /// Creates an empty queue for a link with the given bandwidth in Mbit/s.
    pub fn new(link_megabits: f64) -> Self {
        let bytes_per_second = link_megabits * 1e6 / 8.0 * LINK_SHARE;
        Self { bytes_per_second, pending: Vec::new(), used_until: None, redirected: Vec::new() }
    }

    fn transmission_time(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.bytes_per_second)
    }

    /// Returns how long the link is busy with the slices sent so far and the pending responses.
    fn busy_time(&self, now: Instant) -> Duration {
        let remaining_bytes = self.pending.iter().map(|response| response.remaining_bytes).sum();
        let used =
            self.used_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        used + self.transmission_time(remaining_bytes)
    }

    /// Decides at `now` about a request for a document of `bytes` bytes.
    ///
    /// The request started at `started_at` and was redirected `hops` times. `others` are the
    /// other control instances.
    pub fn decide(
        &mut self,
        (now, started_at): (Instant, Instant),
        bytes: usize,
        hops: u32,
        others: &[Instance],
    ) -> Course {
        let busy_time = self.busy_time(now);
        let transmission_time = self.transmission_time(bytes);
        let is_idle = busy_time <= SLICE_DURATION;
        if is_idle || now + busy_time + transmission_time <= started_at + RESPONSE_DEADLINE {
            return Course::Here;
        }
        match self.idle_instance(now, others).filter(|_| hops < MAX_REDIRECTS) {
            Some(instance) => {
                self.redirected
                    .push((instance.clone(), now + transmission_time.max(SLICE_DURATION)));
                Course::Elsewhere(instance)
            }
            None => Course::Later(busy_time),
        }
    }

    /// Returns the first of `others` that is not assumed to be busy with a redirected request.
    fn idle_instance(&mut self, now: Instant, others: &[Instance]) -> Option<Instance> {
        self.redirected.retain(|(_, until)| now < *until);
        let is_idle =
            |other: &&Instance| self.redirected.iter().all(|(instance, _)| instance != *other);
        others.iter().find(is_idle).cloned()
    }

    /// Appends a response of `bytes` bytes to the queue.
    pub fn push(&mut self, request: Request, bytes: usize) {
        self.pending.push(PendingResponse { request, remaining_bytes: bytes });
    }

    /// Removes the response to a request that the client has abandoned.
    pub fn remove(&mut self, request: Request) {
        self.pending.retain(|response| response.request != request);
    }

    /// Returns the slice to send at `now`, or `None` if the link has no capacity or no response is
    /// pending.
    pub fn next(&mut self, now: Instant) -> Option<Slice> {
        if self.used_until.is_some_and(|until| now < until) {
            return None;
        }
        let max_bytes = (self.bytes_per_second * SLICE_DURATION.as_secs_f64()) as usize;
        let response = self.pending.first_mut()?;
        let bytes = response.remaining_bytes.min(max_bytes.max(1));
        response.remaining_bytes -= bytes;
        let (request, is_last) = (response.request, response.remaining_bytes == 0);
        if is_last {
            self.pending.remove(0);
        }
        let start = self.used_until.filter(|until| *until + MAX_CATCH_UP > now).unwrap_or(now);
        self.used_until = Some(start + self.transmission_time(bytes));
        Some(Slice { request, bytes, is_last })
    }

    /// Returns the time of the next slice. Returns `None` if no response is pending, or if no slice
    /// has been sent yet, so that the first slice can be sent immediately.
    pub fn next_at(&self) -> Option<Instant> {
        self.used_until.filter(|_| !self.pending.is_empty())
    }
}
