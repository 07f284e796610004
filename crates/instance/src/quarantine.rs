//! Actor that exchanges with other instances which keys of requests crash upstreams, and the handle
//! through which requests are checked.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use dispatch::Listening;
use names::{Instance, Upstream};
use quarantine::{Admission, Change, Check, Hazard, Key, Record, Run, Suspects, Suspicions};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use stakker::{Actor, CX, Fwd, after, call, fwd_to};
use telemetry::{Event, Metrics};
use wire::{Delivery, Hub, Outgoing, Slice, Transport};

/// Interval between two comparisons with another instance.
const DIGEST_PERIOD: Duration = Duration::from_millis(500);

/// Interval between two messages with the same change.
const UPDATE_PERIOD: Duration = Duration::from_millis(200);

/// Number of instances that each message is sent to in a large fleet.
const FANOUT: usize = 4;

/// Largest number of other instances that are all told of a change directly.
const MAX_DIRECT_PEERS: usize = 16;

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

/// What this instance knows, and the other instances.
#[derive(Default)]
struct State {
    suspects: Suspects,
    suspicions: Suspicions,
    peers: Vec<Instance>,
    /// Notified of changes that other instances have to know at once.
    on_news: Option<Fwd<()>>,
}

/// What follows the check of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckResult {
    /// The upstream still listens, and is checked again at the given time.
    CheckAgain(Instant),
    /// It is known whether the upstream has ended.
    Done,
}

/// Quarantine of keys of requests, shared by the actors of an instance.
#[derive(Clone)]
pub struct Quarantine {
    me: Instance,
    state: Rc<RefCell<State>>,
    metrics: Arc<Metrics>,
}

impl Quarantine {
    /// Creates a quarantine without any keys at the instance `me`.
    pub fn new(me: Instance, metrics: Arc<Metrics>) -> Self {
        Self { me, state: Rc::default(), metrics }
    }

    /// Returns what may be done with a request with `keys`.
    pub fn check(&self, now: Instant, keys: &[Key]) -> Admission {
        let state = self.state.borrow();
        let instances = || state.peers.iter().chain([&self.me]);
        let tries = |key: Key| placement::rendezvous_owner(key.0, instances()) == Some(&self.me);
        state.suspects.check(now, keys, tries)
    }

    /// Returns what is known against a request with `keys`, the first of which is the most specific.
    pub fn hazard(&self, now: Instant, keys: &[Key]) -> Option<Hazard> {
        self.state.borrow().suspects.hazard(now, keys)
    }

    /// Returns whether `run` is known to have ended in a crash.
    pub fn has_ended(&self, run: Run) -> bool {
        self.state.borrow().suspects.has_ended(run)
    }

    /// Records that a request with `keys` is sent as the trial of its quarantined keys.
    pub fn record_trial(&self, now: Instant, keys: &[Key]) {
        let mut state = self.state.borrow_mut();
        state.suspects.record_trial(now, keys);
        state.notify();
    }

    /// Records that the answer of `run` to a request with `keys` broke off at its beginning.
    pub fn record_broken(&self, now: Instant, run: Run, keys: &[Key]) -> Check {
        self.state.borrow_mut().suspicions.record(now, run, keys)
    }

    /// Drops what is suspected of `run`, because the end of the run is planned.
    pub fn drop_suspicion(&self, run: Run) {
        self.state.borrow_mut().suspicions.take(run);
    }

    /// Records the result of the check of `run`, which is one of `upstream`.
    pub fn record_check(
        &self,
        now: Instant,
        run: Run,
        upstream: &Upstream,
        listening: Listening,
    ) -> CheckResult {
        let mut state = self.state.borrow_mut();
        let next_check = state.suspicions.next_check(now, run);
        if let Some(at) = next_check.filter(|_| listening == Listening::Accepts) {
            return CheckResult::CheckAgain(at);
        }
        let Some((at, keys)) = state.suspicions.take(run) else {
            return CheckResult::Done;
        };
        let text: Vec<String> = keys.iter().map(ToString::to_string).collect();
        Event::BrokenOff {
            upstream: upstream.to_string(),
            born: run.born,
            listening: listening.to_string(),
            parts: text.join(","),
        }
        .write();
        if listening == Listening::Refuses {
            let changes = state.suspects.record_crash(now, run, at, &keys);
            self.report(now, &state, &changes, "itself");
            state.notify();
        }
        CheckResult::Done
    }

    /// Records that an answer to a request with `keys` has got past its beginning.
    pub fn record_sound(&self, now: Instant, keys: &[Key]) {
        let mut state = self.state.borrow_mut();
        let changes = state.suspects.record_sound(now, keys);
        self.report(now, &state, &changes, "itself");
        state.notify();
    }

    fn merge(&self, now: Instant, sender: &Instance, records: &[Record]) {
        let mut state = self.state.borrow_mut();
        let merged = records.iter().filter_map(|record| state.suspects.merge(now, record));
        let changes: Vec<Change> = merged.collect();
        self.report(now, &state, &changes, sender.as_str());
    }

    fn report(&self, now: Instant, state: &State, changes: &[Change], source: &str) {
        for change in changes {
            let (key, is_begun) = match change {
                Change::Quarantined(key) => (key, true),
                Change::Released(key) => (key, false),
            };
            let (part, source) = (key.to_string(), source.to_string());
            Event::Quarantined { part, is_begun, source }.write();
        }
        if !changes.is_empty() {
            let count = state.suspects.quarantined(now);
            self.metrics.quarantined.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }
}

impl State {
    fn notify(&self) {
        if let Some(on_news) = self.on_news.as_ref().filter(|_| self.suspects.has_news()) {
            on_news.fwd(());
        }
    }
}

/// Exchanges the quarantine with other instances.
pub struct QuarantineExchange {
    quarantine: Quarantine,
    hub: Actor<Hub>,
    /// Whether another instance was asked since this one started.
    has_asked: bool,
}

impl QuarantineExchange {
    /// Creates the actor, which sends the changes of `quarantine`.
    pub fn init(cx: CX![], quarantine: Quarantine, hub: Actor<Hub>) -> Option<Self> {
        quarantine.state.borrow_mut().on_news = Some(fwd_to!([cx], send_updates() as ()));
        after!(UPDATE_PERIOD, [cx], repeat_updates());
        after!(DIGEST_PERIOD, [cx], compare());
        Some(Self { quarantine, hub, has_asked: false })
    }

    /// Sets the other instances that serve callers. An instance that has just started asks some of
    /// them for what they know.
    pub fn set_peers(&mut self, _: CX![], peers: Vec<Instance>) {
        let has_peers = !peers.is_empty();
        self.quarantine.state.borrow_mut().peers = peers;
        if has_peers && !self.has_asked {
            self.has_asked = true;
            self.send_digest(FANOUT);
        }
    }

    /// Handles a message of another instance.
    pub fn deliver(&mut self, cx: CX![], delivery: Delivery) {
        let Delivery { sender, payload, .. } = delivery;
        match wire::decode::<Message>("keys that crash upstreams", &payload) {
            Ok(Message::Update(records)) => self.quarantine.merge(cx.now(), &sender, &records),
            Ok(Message::Digest(digest)) => {
                if digest != self.quarantine.state.borrow().suspects.digest() {
                    self.send_records(cx, sender, false);
                }
            }
            Ok(Message::Records { records, is_answer }) => {
                self.quarantine.merge(cx.now(), &sender, &records);
                if !is_answer {
                    self.send_records(cx, sender, true);
                }
            }
            Err(error) => log::warn!("ignored a message from instance {sender}: {error}"),
        }
    }

    /// Repeats what has changed recently, since messages may be lost.
    fn repeat_updates(&mut self, cx: CX![]) {
        self.send_updates(cx);
        after!(UPDATE_PERIOD, [cx], repeat_updates());
    }

    /// Sends what has changed.
    fn send_updates(&mut self, cx: CX![]) {
        let records = {
            let suspects = &mut self.quarantine.state.borrow_mut().suspects;
            suspects.take_updates(cx.now(), MAX_UPDATES)
        };
        for records in records.chunks(MAX_UPDATE_RECORDS) {
            let message = Message::Update(records.to_vec());
            self.send(self.addressees(), Transport::Udp, &message);
        }
    }

    /// Compares what is known with another instance, and schedules the next comparison.
    fn compare(&mut self, cx: CX![]) {
        self.quarantine.state.borrow_mut().suspects.expire(cx.now());
        self.send_digest(1);
        after!(DIGEST_PERIOD, [cx], compare());
    }

    fn send_digest(&self, count: usize) {
        let digest = self.quarantine.state.borrow().suspects.digest();
        self.send(self.random_peers(count), Transport::Udp, &Message::Digest(digest));
    }

    fn send_records(&self, cx: CX![], addressee: Instance, is_answer: bool) {
        let records = self.quarantine.state.borrow().suspects.records(cx.now());
        let message = Message::Records { records, is_answer };
        self.send(vec![addressee], Transport::Tcp, &message);
    }

    /// Returns the instances that a change is sent to. In a large fleet these tell the others.
    fn addressees(&self) -> Vec<Instance> {
        let count = self.quarantine.state.borrow().peers.len();
        self.random_peers(if count > MAX_DIRECT_PEERS { FANOUT } else { count })
    }

    fn random_peers(&self, count: usize) -> Vec<Instance> {
        self.quarantine.state.borrow().peers.sample(&mut rand::rng(), count).cloned().collect()
    }

    fn send(&self, addressees: Vec<Instance>, transport: Transport, message: &Message) {
        let payload = match wire::encode(message) {
            Ok(payload) => payload,
            Err(error) => {
                log::error!("dropped a message about quarantined keys: cannot encode it: {error}");
                return;
            }
        };
        for addressee in addressees {
            let (slice, payload) = (Slice::Quarantine, payload.clone());
            call!([self.hub], send(Outgoing { addressee, slice, transport, payload }));
        }
    }
}
