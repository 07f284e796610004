//! Keeps the rate limits that upstreams name in their answers.
//!
//! A limit applies to the requests of all instances together. In a small fleet, instances do not ask
//! each other before they send, so the limit is divided: a number of instances that depends on the
//! limit holds equal shares, and the others send nothing to the upstream while the limit is in
//! force. The holders are chosen by rendezvous, so that all instances agree on them without
//! messages. Each share allows a burst; all bursts together are [`BURST_SECONDS`] of the limit and a
//! few requests. In a large fleet, the load tracker of the upstream is asked before each request, and
//! grants requests up to the limit.
//!
//! A rate has two sources, the limit that an upstream names and the allowance of a cold upstream, whose
//! bursts are smaller ([`ColdLimits`]). A request needs the permission of both, so the lower one
//! applies.

use std::time::{Duration, Instant};

use names::Instance;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::cold_allowance::{ColdAllowance, Senders};
use crate::{ColdLimits, NamedLimit, PromptLength, RequestRate, is_large_fleet};

/// Length of the sum of all bursts, in seconds of the limit.
const BURST_SECONDS: f64 = 2.0;

/// Requests by which the sum of all bursts exceeds that.
const BURST_REQUESTS: f64 = 4.0;

/// Smallest share in requests per second, unless the whole limit is lower.
const MIN_SHARE: f64 = 0.5;

/// Burst that a load tracker grants: the requests of this time, and one more.
const GRANTED_BURST_SECONDS: f64 = 1.0;

/// Relative change of a limit that other instances are told of.
const REPORTED_CHANGE: f64 = 0.05;

/// How long an answer that names a limit is recent.
const RECENT: Duration = Duration::from_secs(5);

/// Interval at which instances repeat a limit that is in force, for those that send nothing to the
/// upstream.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Number of times that the end of a limit is told, and interval between these.
const END_REPORTS: u8 = 3;
const END_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Time after the last report of a limit, in addition to the time in which four requests are
/// allowed, after which an instance that sends nothing to the upstream forgets the limit.
const REPORT_TTL: Duration = Duration::from_secs(30);

/// Time between two turns of the reports after which this instance has stood still. The turns come
/// every 100 ms.
const HOLD_UP: Duration = Duration::from_millis(500);

/// Time after which an instance without a share looks again whether it has one.
const NO_SHARE_WAIT: Duration = Duration::from_secs(1);

/// What an upstream said about its limit, as one instance tells another.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Short hash of the name of the upstream.
    pub upstream: u32,
    /// Start of the run of the upstream.
    pub born: u64,
    /// The limit, or `None` if the upstream named none.
    pub limit: Option<RequestRate>,
    /// Age of the answer in milliseconds.
    pub age_ms: u32,
}

/// Change of the limit of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum LimitChange {
    /// The upstream named no limit before.
    Begun,
    /// The limit is another one.
    Changed,
    /// The upstream names no limit any more.
    Ended,
}

#[derive(Debug, Clone)]
struct Entry {
    upstream: u32,
    born: u64,
    limit: Option<RequestRate>,
    /// Time of the latest answer that is known.
    said_at: Instant,
    /// Whether this instance received that answer.
    is_own: bool,
    /// Number of requests that may be sent now.
    tokens: f64,
    refilled_at: Instant,
    /// Number of requests that this instance may grant now, as the load tracker of the upstream.
    grants: f64,
    granted_at: Instant,
    /// Number of instances that come before this one in the order of holders.
    rank: usize,
    /// Time from which the limit is told to other instances again.
    report_at: Instant,
    /// Number of reports of the end that are left.
    end_reports: u8,
    has_invalid_limit: bool,
    /// Whether an answer of the upstream is known.
    has_answer: bool,
    /// Allowance of the upstream if it is or was cold.
    cold: Option<ColdAllowance>,
}

/// The rate limits of upstreams, and the share of this instance.
#[derive(Debug, Clone)]
pub struct RateLimits {
    me: Instance,
    /// The other instances that send requests.
    peers: Vec<Instance>,
    /// Number of instances among which limits are divided, including those that are out of sight.
    instances: usize,
    /// Sorted by upstream and start of the run.
    entries: Vec<Entry>,
    /// The instances among which the allowances of cold upstreams are divided.
    senders: Senders,
    /// Time of the last turn of the reports.
    turn_at: Option<Instant>,
}

fn order_key(instance: &Instance, upstream: u32) -> u64 {
    xxh3_64_with_seed(instance.as_str().as_bytes(), u64::from(upstream))
}

impl Entry {
    fn is_cold(&self, now: Instant) -> bool {
        self.cold.as_ref().is_some_and(|cold| cold.is_cold(now))
    }

    /// Returns the number of requests per second and the burst that this instance may send, or
    /// `None` without a share.
    fn share(&self, limit: RequestRate, instances: usize) -> Option<(f64, f64)> {
        let per_second = limit.as_per_second();
        let holders = ((per_second / MIN_SHARE).ceil() as usize).clamp(1, instances);
        let bursts = per_second * BURST_SECONDS + BURST_REQUESTS;
        (self.rank < holders).then_some((per_second / holders as f64, bursts / holders as f64))
    }

    fn refill(&mut self, now: Instant, instances: usize) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        if let Some((rate, burst)) = self.limit.and_then(|limit| self.share(limit, instances)) {
            self.tokens = (self.tokens + elapsed * rate).min(burst);
        }
    }

    fn set_limit(&mut self, now: Instant, limit: Option<RequestRate>) -> Option<LimitChange> {
        let change = match (self.limit, limit) {
            (None, None) => None,
            (None, Some(_)) => Some(LimitChange::Begun),
            (Some(_), None) => Some(LimitChange::Ended),
            (Some(old), Some(new)) => {
                let (old, new) = (old.as_per_second(), new.as_per_second());
                ((old - new).abs() > old * REPORTED_CHANGE).then_some(LimitChange::Changed)
            }
        };
        self.limit = limit;
        if change.is_some() {
            self.report_at = now;
            self.end_reports = END_REPORTS;
        }
        change
    }

    fn report(&self, now: Instant) -> LimitReport {
        let age = now.saturating_duration_since(self.said_at).as_millis();
        LimitReport {
            upstream: self.upstream,
            born: self.born,
            limit: self.limit,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }
}

impl RateLimits {
    /// Creates an empty set of limits at the only instance `me`.
    pub fn new(me: Instance) -> Self {
        let senders = Senders::new(me.clone());
        let (peers, entries) = (Vec::new(), Vec::new());
        Self { me, peers, instances: 1, entries, senders, turn_at: None }
    }

    /// Sets the other instances, and the number of instances among which limits are divided.
    pub fn set_instances(&mut self, peers: Vec<Instance>, instances: usize) {
        self.peers = peers;
        self.instances = instances.max(1);
        for index in 0..self.entries.len() {
            self.entries[index].rank = self.rank(self.entries[index].upstream);
        }
    }

    /// Records what an answer says at `now`: the limit of the run of an upstream, or that it names
    /// none.
    pub fn record(
        &mut self,
        now: Instant,
        upstream: u32,
        born: u64,
        limit: Option<RequestRate>,
    ) -> Option<LimitChange> {
        if limit.is_none() && !self.has_answer(upstream, born) {
            return None;
        }
        let instances = self.instances;
        let entry = self.entry(now, upstream, born);
        entry.refill(now, instances);
        entry.has_answer = true;
        entry.said_at = now;
        entry.is_own = true;
        entry.set_limit(now, limit)
    }

    /// Takes over what an upstream said to another instance, unless a later answer is known.
    pub fn merge(&mut self, now: Instant, report: LimitReport) -> Option<LimitChange> {
        let LimitReport { upstream, born, limit, age_ms } = report;
        let said_at = now.checked_sub(Duration::from_millis(u64::from(age_ms)))?;
        let is_known = self.has_answer(upstream, born);
        if limit.is_none() && !is_known {
            return None;
        }
        let instances = self.instances;
        let entry = self.entry(now, upstream, born);
        if is_known && said_at <= entry.said_at {
            return None;
        }
        entry.refill(now, instances);
        entry.has_answer = true;
        entry.said_at = said_at;
        entry.is_own = false;
        let change = entry.set_limit(now, limit);
        entry.report_at = now + REPEAT_INTERVAL;
        change
    }

    /// Records that an upstream named something that is no limit. Returns whether it does so for
    /// the first time.
    pub fn record_invalid(&mut self, now: Instant, upstream: u32, born: u64) -> bool {
        let entry = self.entry(now, upstream, born);
        entry.has_answer = true;
        !std::mem::replace(&mut entry.has_invalid_limit, true)
    }

    /// Sets the other instances that are visible at `now`, among which the allowances of cold
    /// upstreams are divided. `is_tracker` returns whether this instance is the load tracker of an
    /// upstream.
    pub fn set_senders<T>(&mut self, now: Instant, visible: Vec<Instance>, is_tracker: T)
    where
        T: Fn(u32) -> bool,
    {
        let has_grown = self.senders.set_visible(now, visible);
        for entry in &mut self.entries {
            if let Some(cold) = &mut entry.cold {
                cold.set_tracker(now, is_tracker(entry.upstream));
                if has_grown {
                    cold.close(now);
                }
            }
        }
    }

    /// Records that the run of an upstream is cold until `until`. `is_tracker` says whether this
    /// instance is its load tracker, if the run was not cold before.
    pub fn set_cold(
        &mut self,
        now: Instant,
        (upstream, born): (u32, u64),
        limits: ColdLimits,
        until: Instant,
        is_tracker: bool,
    ) {
        let settled = self.senders.unsettled_until(now).unwrap_or(now);
        let begin = (settled, self.senders.agreed_from(now));
        let entry = self.entry(now, upstream, born);
        match &mut entry.cold {
            Some(cold) => cold.set(limits, until),
            cold => *cold = Some(ColdAllowance::new(limits, until, begin, is_tracker)),
        }
    }

    /// Records that the run of an upstream is not cold.
    pub fn clear_cold(&mut self, upstream: u32, born: u64) {
        if let Ok(index) = self.find(upstream, born) {
            self.entries[index].cold = None;
        }
    }

    /// Returns what is known about the limit of the run of an upstream.
    pub fn named(&self, now: Instant, upstream: u32, born: u64) -> NamedLimit {
        let found = self.find(upstream, born).ok().map(|index| &self.entries[index]);
        if found.is_some_and(|entry| entry.is_cold(now)) {
            return NamedLimit::Cold;
        }
        match found.filter(|entry| entry.limit.is_some()) {
            None => NamedLimit::None,
            Some(entry) if now < entry.said_at + RECENT => NamedLimit::Recent,
            Some(_) => NamedLimit::Old,
        }
    }

    /// Returns the time at which the next request may be sent to the run of an upstream, or `None`
    /// if one may be sent now.
    pub fn next_request(&self, now: Instant, upstream: u32, born: u64) -> Option<Instant> {
        let entry = &self.entries[self.find(upstream, born).ok()?];
        self.next_by_limit(now, entry).max(self.next_by_cold(now, entry))
    }

    fn next_by_cold(&self, now: Instant, entry: &Entry) -> Option<Instant> {
        let cold = entry.cold.as_ref().filter(|cold| cold.is_cold(now))?;
        let unsettled_until = self.senders.unsettled_until(now);
        if unsettled_until.is_some() || is_large_fleet(self.instances) {
            return unsettled_until;
        }
        cold.next_request(now, &self.senders, |instance| order_key(instance, entry.upstream))
    }

    fn next_by_limit(&self, now: Instant, entry: &Entry) -> Option<Instant> {
        let limit = entry.limit?;
        if is_large_fleet(self.instances) {
            return None;
        }
        let mut entry = entry.clone();
        let Some((rate, _)) = entry.share(limit, self.instances) else {
            return Some(now + NO_SHARE_WAIT);
        };
        entry.refill(now, self.instances);
        let missing = 1.0 - entry.tokens;
        (missing > 0.0).then(|| now + Duration::from_secs_f64(missing / rate))
    }

    /// Counts a request that is sent to the run of an upstream.
    pub fn count_request(&mut self, now: Instant, upstream: u32, born: u64) {
        if let Ok(index) = self.find(upstream, born) {
            let entry = &mut self.entries[index];
            entry.refill(now, self.instances);
            entry.tokens = (entry.tokens - 1.0).max(0.0);
            if let Some(cold) = &mut entry.cold {
                cold.count_request(now, &self.senders);
            }
        }
    }

    /// Returns whether the newest run of an upstream may get a request of any instance, and counts
    /// it. This instance is the load tracker of the upstream.
    pub fn grant(&mut self, now: Instant, upstream: u32) -> bool {
        self.grant_prompt(now, upstream, PromptLength::Short, false)
    }

    /// Returns whether the newest run of an upstream may get a request with a prompt of the given
    /// length, and counts it. `is_cold` says whether the upstream is cold as far as the instance
    /// knows that asks.
    pub fn grant_prompt(
        &mut self,
        now: Instant,
        upstream: u32,
        length: PromptLength,
        is_cold: bool,
    ) -> bool {
        self.detect_hold_up(now);
        let end = self.entries.partition_point(|entry| entry.upstream <= upstream);
        let newest = self.entries[..end].last_mut().filter(|entry| entry.upstream == upstream);
        let Some(entry) = newest else {
            // A load tracker that has just started does not know yet that the upstream is cold.
            return !is_cold;
        };
        let is_settled = self.senders.unsettled_until(now).is_none();
        let cold = entry.cold.as_mut().filter(|cold| is_cold || cold.is_cold(now));
        let mut is_granted = match cold {
            Some(cold) => is_settled && cold.may_grant(now, &self.senders, length),
            None => !is_cold,
        };
        if let Some(limit) = entry.limit {
            let limit = limit.as_per_second();
            let elapsed = now.saturating_duration_since(entry.granted_at).as_secs_f64();
            entry.granted_at = now;
            let burst = limit * GRANTED_BURST_SECONDS + 1.0;
            entry.grants = (entry.grants + elapsed * limit).min(burst);
            is_granted &= entry.grants >= 1.0;
        }
        if is_granted && entry.limit.is_some() {
            entry.grants -= 1.0;
        }
        if let Some(cold) = entry.cold.as_mut().filter(|_| is_granted) {
            cold.count_grant();
        }
        is_granted
    }

    /// Closes the grants for cold upstreams if this instance has stood still.
    fn detect_hold_up(&mut self, now: Instant) {
        if self.turn_at.is_some_and(|turn_at| now > turn_at + HOLD_UP) {
            self.turn_at = Some(now);
            for cold in self.entries.iter_mut().filter_map(|entry| entry.cold.as_mut()) {
                cold.close_grants(now);
            }
        }
    }

    /// Returns what other instances have to be told, and forgets what is too old to matter.
    /// `is_listed` returns whether a run of an upstream is still announced.
    pub fn take_reports<L>(&mut self, now: Instant, is_listed: L) -> Vec<LimitReport>
    where
        L: Fn(u32, u64) -> bool,
    {
        self.detect_hold_up(now);
        self.turn_at = Some(now);
        let instances = self.instances;
        self.entries.retain(|entry| {
            // An instance that may send to the upstream learns from the answers.
            let has_share = is_large_fleet(instances)
                || entry.limit.is_some_and(|limit| entry.share(limit, instances).is_some());
            let ttl = REPORT_TTL + entry.limit.map_or(Duration::ZERO, |limit| limit.interval() * 4);
            let is_kept = has_share || entry.is_cold(now) || now < entry.said_at + ttl;
            is_listed(entry.upstream, entry.born) && is_kept
        });
        let due = self.entries.iter_mut().filter(|entry| {
            let is_told = entry.limit.is_some() || entry.end_reports > 0;
            entry.is_own && is_told && entry.report_at <= now
        });
        let reports = due.map(|entry| {
            entry.report_at = now + REPEAT_INTERVAL;
            if entry.limit.is_none() {
                entry.end_reports -= 1;
                entry.report_at = now + END_REPORT_INTERVAL;
            }
            entry.report(now)
        });
        reports.collect()
    }

    /// Returns the number of instances that come before this one in the order of the holders of the
    /// limit of an upstream.
    fn rank(&self, upstream: u32) -> usize {
        let mine = (order_key(&self.me, upstream), &self.me);
        self.peers.iter().filter(|peer| (order_key(peer, upstream), *peer) < mine).count()
    }

    /// Returns whether an answer of the run of an upstream is known.
    fn has_answer(&self, upstream: u32, born: u64) -> bool {
        self.find(upstream, born).is_ok_and(|index| self.entries[index].has_answer)
    }

    fn find(&self, upstream: u32, born: u64) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&(upstream, born), |entry| (entry.upstream, entry.born))
    }

    fn entry(&mut self, now: Instant, upstream: u32, born: u64) -> &mut Entry {
        let index = match self.find(upstream, born) {
            Ok(index) => index,
            Err(index) => {
                let entry = Entry {
                    upstream,
                    born,
                    limit: None,
                    said_at: now,
                    is_own: false,
                    tokens: 0.0,
                    refilled_at: now,
                    grants: 0.0,
                    granted_at: now,
                    rank: self.rank(upstream),
                    report_at: now,
                    end_reports: 0,
                    has_invalid_limit: false,
                    has_answer: false,
                    cold: None,
                };
                self.entries.insert(index, entry);
                index
            }
        };
        &mut self.entries[index]
    }
}
