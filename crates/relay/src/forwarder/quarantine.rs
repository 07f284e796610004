//! Finds parts of prompts that crash upstreams, and refuses requests with such parts.
//!
//! All instances exchange what they know, since each one sees only some of the crashes.
//! [`quarantine::Suspects`] decides which parts are quarantined.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dispatch::Listening;
use entry::Problem;
use forward::GossipConfig;
use names::{Instance, Upstream};
use quarantine::{Admission, BEGINNING, Change, Check, Part, Record, Run, Suspects, Suspicions};
use rand::seq::IndexedRandom;
use roster::short_hash;
use serde::{Deserialize, Serialize};
use stakker::{CX, after, at, call, ret_some_to};
use telemetry::Event;
use wire::{Delivery, Outgoing, Slice, Transport};

use super::{Forwarder, problems};
use crate::interface::Prompt;

/// Time that a check whether an upstream listens may take.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval between two comparisons with another instance.
const DIGEST_PERIOD: Duration = Duration::from_millis(500);

/// Interval between two comparisons with another instance in a large fleet.
const LARGE_FLEET_DIGEST_PERIOD: Duration = Duration::from_secs(2);

/// Interval between two messages with the same change.
const UPDATE_PERIOD: Duration = Duration::from_millis(100);

/// Number of body parts after which an answer is past its beginning, if these took long enough.
const MIN_SOUND_PARTS: u32 = 3;

/// Maximum number of records in an update, so that it fits in a datagram.
const MAX_UPDATE_RECORDS: usize = 10;

/// Maximum number of records that are sent at once.
const MAX_UPDATES: usize = 100;

/// Message in [`Slice::Quarantine`].
#[derive(Debug, Clone, Serialize, Deserialize)]
enum Message {
    /// Records that changed.
    Update(Vec<Record>),
    /// Hash of what the sender knows. An instance that knows something else sends its records.
    Digest(u64),
    /// All records of the sender.
    Records { records: Vec<Record>, is_answer: bool },
}

/// What this instance knows about parts of prompts that crash upstreams.
#[derive(Debug, Default)]
pub(super) struct Quarantine {
    suspects: Suspects,
    suspicions: Suspicions,
    is_update_due: bool,
    /// Whether another instance was asked since this one started.
    has_asked: bool,
}

/// Returns the parts of a prompt that may crash an upstream. The last part is specific to the
/// request or its session, and is none of them.
pub(super) fn shared_parts(prompt: Option<&Prompt>) -> Vec<Part> {
    let parts = prompt.map_or(&[][..], |prompt| prompt.parts.as_slice());
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|part| Part(part.id)).collect()
}

impl Forwarder {
    /// Returns what may be done with a request with `parts`.
    pub(super) fn check_parts(&self, now: Instant, parts: &[Part]) -> Admission {
        self.quarantine.suspects.check(now, parts, |part| self.tries(part))
    }

    /// Checks a new request with `parts`. Returns whether it is the trial of a quarantined part.
    ///
    /// # Errors
    ///
    /// The refusal, if a part is quarantined.
    pub(super) fn admit_parts(&self, now: Instant, parts: &[Part]) -> Result<bool, Problem> {
        match self.check_parts(now, parts) {
            Admission::Accept => Ok(false),
            Admission::Try => Ok(true),
            Admission::Refuse { until, .. } => Err(problems::quarantined(now, until)),
        }
    }

    /// Returns whether a part of the prompt of a request is quarantined.
    pub(super) fn is_quarantined(&self, now: Instant, id: names::Request) -> bool {
        let Ok(index) = self.find(id) else {
            return false;
        };
        let parts = shared_parts(self.requests[index].metadata.prompt.as_ref());
        self.check_parts(now, &parts) != Admission::Accept
    }

    /// Returns whether the request at `index` may be sent. A part may have been quarantined since
    /// the request arrived.
    pub(super) fn may_send_parts(&self, now: Instant, index: usize) -> bool {
        let active = &self.requests[index];
        let is_first_attempt = active.tried.is_empty();
        let parts = shared_parts(active.metadata.prompt.as_ref());
        (active.is_trial && is_first_attempt) || self.check_parts(now, &parts) == Admission::Accept
    }

    /// Ends a request that is not sent because a part of its prompt is quarantined. A request in
    /// progress goes on.
    pub(super) fn refuse_quarantined(&mut self, cx: CX![], id: names::Request) {
        let now = cx.now();
        let Some(active) = self.active(id).filter(|active| active.running.is_none()) else {
            return;
        };
        let parts = shared_parts(active.metadata.prompt.as_ref());
        let (is_started, has_run) = (active.is_started, active.runs > 0);
        match (is_started, has_run, self.check_parts(now, &parts)) {
            (true, _, _) => self.abort_response(now, id, "quarantined"),
            (false, false, Admission::Refuse { until, .. }) => {
                self.refuse(now, id, problems::quarantined(now, until));
            }
            (false, ..) => self.refuse(now, id, problems::failed()),
        }
        self.finish(cx, id);
    }

    /// Returns whether this instance is the one that tries a quarantined part.
    fn tries(&self, part: Part) -> bool {
        let peers = self.peers.iter().map(|peer| &peer.instance);
        let all = peers.chain([&self.settings.instance]);
        placement::rendezvous_owner(part.0, all) == Some(&self.settings.instance)
    }

    /// Records that a request with `parts` is sent as the trial of its quarantined parts.
    pub(super) fn begin_trial(&mut self, cx: CX![], parts: &[Part]) {
        self.quarantine.suspects.record_trial(cx.now(), parts);
        self.send_updates(cx);
    }

    /// Suspects a crash if the answer to a request broke off at its beginning.
    pub(super) fn suspect_crash(&mut self, cx: CX![], id: names::Request) {
        let now = cx.now();
        let Some(active) = self.active(id) else {
            return;
        };
        let Some(running) = &active.running else {
            return;
        };
        if running.head_at.is_none_or(|at| now > at + BEGINNING) {
            return;
        }
        let upstream = running.upstream.clone();
        let run = Run { upstream: short_hash(&upstream), born: running.born };
        active.broken_beginnings += 1;
        let parts = shared_parts(active.metadata.prompt.as_ref());
        if parts.is_empty() {
            return;
        }
        if let Check::At(at) = self.quarantine.suspicions.record(now, run, &parts) {
            at!(at, [cx], check_upstream(run, upstream));
        }
    }

    /// Checks whether an upstream whose answer broke off has ended.
    fn check_upstream(&mut self, cx: CX![], run: Run, upstream: Upstream) {
        match self.table.expected_address(&upstream, run.born) {
            Some(address) => self.begin_check(cx, run, upstream, address),
            // The end of an upstream that leaves is planned.
            None => drop(self.quarantine.suspicions.take(run)),
        }
    }

    fn begin_check(&mut self, cx: CX![], run: Run, upstream: Upstream, address: SocketAddr) {
        let deadline = cx.now() + CHECK_TIMEOUT;
        let result = ret_some_to!([cx], finish_check(run, upstream) as (Listening));
        call!([self.client], check_listening(address, deadline, result));
    }

    fn finish_check(&mut self, cx: CX![], run: Run, upstream: Upstream, listening: Listening) {
        let Some((at, parts)) = self.quarantine.suspicions.take(run) else {
            return;
        };
        let is_crash = listening == Listening::Refuses;
        let text: Vec<String> = parts.iter().map(ToString::to_string).collect();
        Event::BrokenOff {
            upstream: upstream.to_string(),
            born: run.born,
            listening: listening.to_string(),
            parts: text.join(","),
        }
        .write();
        if is_crash {
            let changes = self.quarantine.suspects.record_crash(cx.now(), run, at, &parts);
            self.log_changes(&changes, "itself");
            self.send_updates(cx);
        }
    }

    /// Records that the answer to a request has got past its beginning, once for each attempt.
    /// `is_complete` says that it has ended, and that its end is known to be complete.
    pub(super) fn record_sound(&mut self, cx: CX![], id: names::Request, is_complete: bool) {
        let now = cx.now();
        let Some(active) = self.active(id) else {
            return;
        };
        let Some(running) = &mut active.running else {
            return;
        };
        let is_past = running.parts >= MIN_SOUND_PARTS
            && running.head_at.is_some_and(|at| now >= at + BEGINNING);
        if running.is_sound || running.status != 200 || !(is_past || is_complete) {
            return;
        }
        running.is_sound = true;
        let parts = shared_parts(active.metadata.prompt.as_ref());
        let changes = self.quarantine.suspects.record_sound(now, &parts);
        self.log_changes(&changes, "itself");
        self.send_updates(cx);
    }

    fn log_changes(&self, changes: &[Change], source: &str) {
        for change in changes {
            let (part, is_begun) = match change {
                Change::Quarantined(part) => (part, true),
                Change::Released(part) => (part, false),
            };
            let (part, source) = (part.to_string(), source.to_string());
            Event::Quarantined { part, is_begun, source }.write();
        }
        let count = self.quarantine.suspects.quarantined();
        self.metrics.relay.quarantined.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sends what has changed to other instances, and repeats it a few times.
    fn send_updates(&mut self, cx: CX![]) {
        let records = self.quarantine.suspects.take_updates(cx.now(), MAX_UPDATES);
        let fanout = GossipConfig::new(self.entry_count).fanout;
        for records in records.chunks(MAX_UPDATE_RECORDS) {
            let chosen = self.random_peers(fanout);
            let message = Message::Update(records.to_vec());
            self.send_quarantine(chosen, Transport::Udp, &message);
        }
        if self.quarantine.suspects.has_updates() && !self.quarantine.is_update_due {
            self.quarantine.is_update_due = true;
            after!(UPDATE_PERIOD, [cx], repeat_updates());
        }
    }

    fn repeat_updates(&mut self, cx: CX![]) {
        self.quarantine.is_update_due = false;
        self.send_updates(cx);
    }

    /// Compares what is known with another instance, and schedules the next comparison.
    pub(super) fn compare_quarantines(&mut self, cx: CX![]) {
        self.quarantine.suspects.expire(cx.now());
        self.send_digest(1);
        let period = match forward::is_large_fleet(self.entry_count) {
            true => LARGE_FLEET_DIGEST_PERIOD,
            false => DIGEST_PERIOD,
        };
        after!(period, [cx], compare_quarantines());
    }

    /// Asks other instances for what they know, once after the start of this instance.
    pub(super) fn ask_for_quarantine(&mut self) {
        if !self.peers.is_empty() && !self.quarantine.has_asked {
            self.quarantine.has_asked = true;
            self.send_digest(GossipConfig::new(self.entry_count).fanout);
        }
    }

    fn send_digest(&self, fanout: usize) {
        let message = Message::Digest(self.quarantine.suspects.digest());
        self.send_quarantine(self.random_peers(fanout), Transport::Udp, &message);
    }

    fn random_peers(&self, count: usize) -> Vec<Instance> {
        let chosen = self.peers.sample(&mut rand::rng(), count);
        chosen.map(|peer| peer.instance.clone()).collect()
    }

    fn send_quarantine(&self, addressees: Vec<Instance>, transport: Transport, message: &Message) {
        let payload = match wire::encode(message) {
            Ok(payload) => payload,
            Err(error) => {
                log::error!("dropped a message about quarantined parts: cannot encode it: {error}");
                return;
            }
        };
        for addressee in addressees {
            let (slice, payload) = (Slice::Quarantine, payload.clone());
            call!([self.hub], send(Outgoing { addressee, slice, transport, payload }));
        }
    }

    /// Handles a message of another instance about parts that crash upstreams.
    pub(crate) fn receive_quarantine(&mut self, cx: CX![], delivery: Delivery) {
        let Delivery { sender, payload, .. } = delivery;
        match wire::decode::<Message>("parts that crash upstreams", &payload) {
            Ok(Message::Update(records)) => self.merge_records(cx, &sender, &records),
            Ok(Message::Digest(digest)) => {
                if digest != self.quarantine.suspects.digest() {
                    self.send_records(cx, sender, false);
                }
            }
            Ok(Message::Records { records, is_answer }) => {
                self.merge_records(cx, &sender, &records);
                if !is_answer {
                    self.send_records(cx, sender, true);
                }
            }
            Err(error) => log::warn!("ignored a message from instance {sender}: {error}"),
        }
    }

    fn send_records(&self, cx: CX![], addressee: Instance, is_answer: bool) {
        let records = self.quarantine.suspects.records(cx.now());
        let message = Message::Records { records, is_answer };
        self.send_quarantine(vec![addressee], Transport::Tcp, &message);
    }

    fn merge_records(&mut self, cx: CX![], sender: &Instance, records: &[Record]) {
        let now = cx.now();
        let suspects = &mut self.quarantine.suspects;
        let changes: Vec<Change> =
            records.iter().filter_map(|record| suspects.merge(now, record)).collect();
        self.log_changes(&changes, sender.as_str());
        self.send_updates(cx);
    }
}
