//! Allowance of requests for a cold engine, which crashes above a rate that all instances together
//! have to keep.
//!
//! The bound is a number of requests that arrive in any second. In a small fleet each holder of a
//! share has a bucket of one request; in a large fleet the load tracker has one bucket. The bursts and
//! the rate together stay within the bound, also if requests arrive late. Buckets start empty, and
//! nothing is granted while an instance may not yet know the others, or while another instance may
//! still grant as the load tracker.

use std::time::{Duration, Instant};

use names::Instance;

/// Time by which the arrivals of two requests may be closer together than their sending: a search
/// that asks several load trackers, and a slow connection.
const ARRIVAL_SPREAD_SECONDS: f64 = 0.35;

/// Share of the rate for which the number of holders of a share is reduced, since each holder needs a
/// burst of one request.
const LEAST_RATE_USE: f64 = 0.75;

/// Number of load trackers that may use their burst in the same second, after the load tracker of an
/// engine has changed.
const GRANTING_TRACKERS: f64 = 2.0;

/// Time without news of further instances after which an instance knows all others, and time after
/// which all others know that it is the load tracker of an upstream.
const SETTLING_TIME: Duration = Duration::from_millis(1500);

/// Time for which an instance that is out of sight counts as a sender, since it may be on the other
/// side of a network partition.
const SENDER_RETENTION: Duration = Duration::from_secs(300);

/// What all instances together may send to a cold upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimits {
    /// Number of requests per second that the upstream sustains.
    per_second: f64,
    /// Number of requests that may arrive in any second.
    bound: f64,
}

impl ColdLimits {
    /// Returns the limits of an upstream that sustains `per_second` requests per second while it is
    /// cold, of which `per_second * excess + slack` may arrive in a second. Returns `None` if any of
    /// these is no limit.
    pub fn new(per_second: f64, excess: f64, slack: f64) -> Option<Self> {
        let bound = per_second * excess + slack;
        let is_limit = per_second > 0.0 && per_second.is_finite() && bound.is_finite();
        is_limit.then_some(Self { per_second, bound: bound.max(0.0) })
    }

    /// Returns the highest rate within the bound if all bursts are `bursts` requests.
    fn rate(&self, bursts: f64) -> f64 {
        let rate = (self.bound - bursts) / (1.0 + ARRIVAL_SPREAD_SECONDS);
        rate.clamp(0.0, self.per_second)
    }

    /// Returns the number of instances that hold a share of the limits, among `senders`.
    fn holders(&self, senders: usize) -> usize {
        let used = self.per_second * LEAST_RATE_USE * (1.0 + ARRIVAL_SPREAD_SECONDS);
        ((self.bound - used).max(1.0) as usize).clamp(1, senders.max(1))
    }

    /// Returns the rate at which each holder of a share sends, and the burst.
    fn share(&self, senders: usize) -> Pace {
        let holders = self.holders(senders) as f64;
        Pace { rate: self.rate(holders) / holders, burst: 1.0 }
    }

    /// Returns the rate at which a load tracker grants that serves `share` of all senders, and the
    /// burst.
    fn granted(&self, share: f64) -> Pace {
        let rate = self.rate(GRANTING_TRACKERS);
        let bursts = self.bound - rate * (1.0 + ARRIVAL_SPREAD_SECONDS);
        let burst = (bursts / GRANTING_TRACKERS * share).max(1.0);
        Pace { rate: rate * share, burst }
    }
}

/// Rate in requests per second, and burst.
#[derive(Debug, Clone, Copy)]
struct Pace {
    rate: f64,
    burst: f64,
}

/// Token bucket that may be closed until a time in the future.
#[derive(Debug, Clone)]
struct Bucket {
    tokens: f64,
    refilled_at: Instant,
}

impl Bucket {
    /// Returns an empty bucket that is refilled from `at`.
    fn empty(at: Instant) -> Self {
        Self { tokens: 0.0, refilled_at: at }
    }

    fn refill(&mut self, now: Instant, pace: Pace) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed * pace.rate).min(pace.burst);
    }

    /// Empties the bucket, which is refilled from `until`.
    fn close(&mut self, until: Instant) {
        self.tokens = 0.0;
        self.refilled_at = self.refilled_at.max(until);
    }
}

/// Length of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum PromptLength {
    /// The prompt is read in a short time.
    Short,
    /// The prompt is read for so long that short ones take precedence at cold upstreams.
    Long,
}

/// The instances that send requests, as one instance has come to know them.
#[derive(Debug, Clone)]
pub(crate) struct Senders {
    me: Instance,
    /// Other instances and the time until which each one counts, sorted by name.
    known: Vec<(Instance, Instant)>,
    visible: Vec<Instance>,
    /// Time until which other instances may be unknown.
    unsettled_until: Option<Instant>,
    changed_at: Option<Instant>,
    /// Share of the senders that were visible before the last change.
    previous_share: f64,
}

impl Senders {
    pub(crate) fn new(me: Instance) -> Self {
        Self {
            me,
            known: Vec::new(),
            visible: Vec::new(),
            unsettled_until: None,
            changed_at: None,
            previous_share: 1.0,
        }
    }

    /// Sets the other instances that are visible at `now`. Returns whether any of them was unknown.
    pub(crate) fn set_visible(&mut self, now: Instant, mut visible: Vec<Instance>) -> bool {
        visible.sort();
        let share = self.visible_share();
        let mut has_grown = self.unsettled_until.is_none();
        let until = now + SENDER_RETENTION;
        for (known, known_until) in &mut self.known {
            if self.visible.binary_search(known).is_ok() {
                *known_until = until;
            }
        }
        for instance in &visible {
            match self.known.binary_search_by(|(known, _)| known.cmp(instance)) {
                Ok(index) => self.known[index].1 = until,
                Err(index) => {
                    self.known.insert(index, (instance.clone(), until));
                    has_grown = true;
                }
            }
        }
        self.known.retain(|(_, until)| now < *until);
        if visible != self.visible {
            self.previous_share = share;
            self.changed_at = Some(now);
            self.visible = visible;
        }
        if has_grown {
            self.unsettled_until = Some(now + SETTLING_TIME);
        }
        has_grown
    }

    /// Returns the time until which the instance may not know all others, if it is after `now`.
    pub(crate) fn unsettled_until(&self, now: Instant) -> Option<Instant> {
        // Before the first view, no other instance is known.
        let until = self.unsettled_until.unwrap_or(now + SETTLING_TIME);
        Some(until).filter(|until| now < *until)
    }

    /// Returns the time from which all instances agree on the load trackers.
    pub(crate) fn agreed_from(&self, now: Instant) -> Instant {
        let changed = self.changed_at.map_or(now, |at| at + SETTLING_TIME);
        changed.max(self.unsettled_until(now).unwrap_or(now)).max(now)
    }

    fn count(&self) -> usize {
        self.known.len() + 1
    }

    fn visible_share(&self) -> f64 {
        (self.visible.len() + 1) as f64 / self.count() as f64
    }

    /// Returns the share of the senders that a load tracker serves. Instances that have come back may
    /// still ask another one.
    fn share(&self, now: Instant) -> f64 {
        let share = self.visible_share();
        match self.changed_at {
            Some(at) if now < at + SETTLING_TIME => share.min(self.previous_share),
            _ => share,
        }
    }

    /// Returns the number of known instances that come before this one in the order of the holders
    /// of a share. `order` returns the key by which they are ordered.
    fn rank<K>(&self, order: K) -> usize
    where
        K: Fn(&Instance) -> u64,
    {
        let mine = (order(&self.me), &self.me);
        self.known.iter().filter(|(known, _)| (order(known), known) < mine).count()
    }
}

/// Allowance of one instance for a cold run of an upstream.
#[derive(Debug, Clone)]
pub(crate) struct ColdAllowance {
    limits: ColdLimits,
    until: Instant,
    /// Requests that this instance may send, in a small fleet.
    sent: Bucket,
    /// Requests that this instance may grant as the load tracker, in a large fleet.
    granted: Bucket,
    is_tracker: bool,
}

impl ColdAllowance {
    /// Creates an allowance from which this instance sends nothing before `settled`, and grants
    /// nothing before `agreed`.
    pub(crate) fn new(
        limits: ColdLimits,
        until: Instant,
        (settled, agreed): (Instant, Instant),
        is_tracker: bool,
    ) -> Self {
        let (sent, granted) = (Bucket::empty(settled), Bucket::empty(agreed));
        Self { limits, until, sent, granted, is_tracker }
    }

    pub(crate) fn set(&mut self, limits: ColdLimits, until: Instant) {
        self.limits = limits;
        self.until = until;
    }

    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Closes the allowance after other instances became known at `now`.
    pub(crate) fn close(&mut self, now: Instant) {
        self.sent.close(now + SETTLING_TIME);
        self.granted.close(now + SETTLING_TIME);
    }

    /// Closes the grants after this instance stood still, since another one may have become the load
    /// tracker.
    pub(crate) fn close_grants(&mut self, now: Instant) {
        self.granted.close(now + SETTLING_TIME);
    }

    /// Records whether this instance is the load tracker. Another one may still grant when this one
    /// becomes the load tracker.
    pub(crate) fn set_tracker(&mut self, now: Instant, is_tracker: bool) {
        if is_tracker && !self.is_tracker {
            self.close_grants(now);
        }
        self.is_tracker = is_tracker;
    }

    /// Returns the time at which this instance of a small fleet may send the next request, or `None`
    /// if it may send one now.
    pub(crate) fn next_request<K>(
        &self,
        now: Instant,
        senders: &Senders,
        order: K,
    ) -> Option<Instant>
    where
        K: Fn(&Instance) -> u64,
    {
        let pace = self.limits.share(senders.count());
        let has_share = senders.rank(order) < self.limits.holders(senders.count());
        if !has_share || pace.rate <= 0.0 {
            return Some(self.until.max(now));
        }
        let mut bucket = self.sent.clone();
        bucket.refill(now, pace);
        let missing = 1.0 - bucket.tokens;
        let from = bucket.refilled_at;
        (missing > 0.0).then(|| from + Duration::from_secs_f64(missing / pace.rate))
    }

    /// Counts a request that this instance sends.
    pub(crate) fn count_request(&mut self, now: Instant, senders: &Senders) {
        self.sent.refill(now, self.limits.share(senders.count()));
        self.sent.tokens = (self.sent.tokens - 1.0).max(0.0);
    }

    /// Returns whether a request may be granted. A long prompt leaves half of the burst to short ones.
    pub(crate) fn may_grant(
        &mut self,
        now: Instant,
        senders: &Senders,
        length: PromptLength,
    ) -> bool {
        let pace = self.limits.granted(senders.share(now));
        self.granted.refill(now, pace);
        let reserved = match length {
            PromptLength::Short => 0.0,
            PromptLength::Long => (pace.burst - 1.0) / 2.0,
        };
        self.is_tracker && self.granted.tokens >= 1.0 + reserved
    }

    /// Counts a request that was granted.
    pub(crate) fn count_grant(&mut self) {
        self.granted.tokens = (self.granted.tokens - 1.0).max(0.0);
    }
}
