//! Distribution of a new document to all instances.
//!
//! The few instances that have the document first do not send it to all others at the same time,
//! because this would saturate their links.

use std::time::{Duration, Instant};

use names::Instance;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Number;

/// Number of instances of a data centre that fetch from control instances at the same time.
const FETCH_GROUP_SIZE: usize = 2;

/// Delay between two groups of instances that fetch from control instances. The delay is a small
/// fraction of the time in which a document must be in force everywhere.
const FETCH_GROUP_DELAY: Duration = Duration::from_millis(500);

/// Fraction of the link bandwidth that may be used to send documents. The rest is reserved for the
/// replicated log and for heartbeats.
const LINK_SHARE: f64 = 0.5;

/// Longest transmission time of the documents that are queued on a link. Heartbeats that are queued
/// behind the documents can be delayed by this time.
const MAX_QUEUED_TIME: Duration = Duration::from_millis(200);

/// Returns how long `me` waits for its `neighbours` before it fetches the document `number` from a
/// control instance.
///
/// `neighbours` are the other instances of the data centre, in any order. A hash of the instance
/// and the document number decides which instances fetch first. `me` may get the document from one
/// of its neighbours during the delay.
pub fn turn(me: &Instance, neighbours: &[Instance], number: Number) -> Duration {
    let weight = |instance: &Instance| xxh3_64_with_seed(instance.as_str().as_bytes(), number.0);
    let own_weight = weight(me);
    let preceding = neighbours.iter().filter(|neighbour| weight(neighbour) > own_weight).count();
    FETCH_GROUP_DELAY * u32::try_from(preceding / FETCH_GROUP_SIZE).unwrap_or(u32::MAX)
}

/// Number of children of each instance in the tree along which a large fleet forwards a document.
const CHILDREN_PER_INSTANCE: usize = 2;

/// Returns the instances to which `me` forwards the document `number` in a large fleet.
///
/// `neighbours` are the other instances of the data centre, in any order. Each instance sorts all
/// instances of the data centre by the same hash. The sorted list is a binary tree, in which each
/// instance forwards the document to its two children. If the document came from another data
/// centre (`is_from_outside`), it is also sent to the root of the tree.
pub fn heirs(
    me: &Instance,
    neighbours: &[Instance],
    number: Number,
    is_from_outside: bool,
) -> Vec<Instance> {
    let hash = |instance: &Instance| xxh3_64_with_seed(instance.as_str().as_bytes(), number.0);
    let mut sorted: Vec<&Instance> = neighbours.iter().chain([me]).collect();
    sorted.sort_by_key(|instance| (hash(instance), *instance));
    let own_index = sorted.iter().position(|instance| *instance == me).unwrap_or_default();
    let children =
        sorted.iter().skip(own_index * CHILDREN_PER_INSTANCE + 1).take(CHILDREN_PER_INSTANCE);
    let root = sorted.first().filter(|_| is_from_outside);
    let targets = root.into_iter().chain(children).filter(|instance| **instance != me);
    targets.map(|instance| (*instance).clone()).collect()
}

/// Time since which an instance has known that a newer document than its own exists.
#[derive(Debug, Clone, Copy, Default)]
pub struct Lack {
    since: Option<Instant>,
}

impl Lack {
    /// Whether a newer document is known to exist.
    pub fn is_known(&self) -> bool {
        self.since.is_some()
    }

    /// Records at `now` that a newer document exists. Returns since when this has been known.
    pub fn note(&mut self, now: Instant) -> Instant {
        *self.since.get_or_insert(now)
    }

    /// Records that the instance has received the newest document that it knows of.
    pub fn end(&mut self) {
        self.since = None;
    }
}

/// Next action of an instance that sends documents.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Giving {
    /// Sends the newest document to the given instance.
    Send(Instance),
    /// Checks the queue again at the given time.
    Wait(Instant),
    /// No instance is waiting for a document.
    Done,
}

/// Queue of the instances that have requested the newest document from this instance.
///
/// Transmissions are paced to the fraction of the link bandwidth that documents may use.
#[derive(Debug, Clone)]
pub struct Outflow {
    bytes_per_second: f64,
    /// Instances that wait for the document, in sending order and without duplicates.
    waiting: Vec<Instance>,
    /// Time at which the transmission of the sent documents ends.
    sending_until: Option<Instant>,
}

impl Outflow {
    /// Creates an empty queue for a link with the given bandwidth in Mbit/s.
    pub fn new(link_megabits: f64) -> Self {
        let bytes_per_second = link_megabits * 1e6 / 8.0 * LINK_SHARE;
        Self { bytes_per_second, waiting: Vec::new(), sending_until: None }
    }

    /// Adds `instance` to the queue if it is not queued yet.
    ///
    /// An instance that sends documents to others (`is_sender`) is added at the front, because it
    /// can serve other instances as soon as it has the document.
    pub fn ask(&mut self, instance: Instance, is_sender: bool) {
        if self.waiting.contains(&instance) {
            return;
        }
        match is_sender {
            true => self.waiting.insert(0, instance),
            false => self.waiting.push(instance),
        }
    }

    /// Returns the next action at `now`; the newest document has `bytes` bytes. The instance of a
    /// [`Giving::Send`] is removed from the queue.
    pub fn next(&mut self, now: Instant, bytes: usize) -> Giving {
        if self.waiting.is_empty() {
            return Giving::Done;
        }
        let start = self.sending_until.map_or(now, |until| until.max(now));
        if start > now + MAX_QUEUED_TIME {
            return Giving::Wait(start - MAX_QUEUED_TIME);
        }
        self.sending_until =
            Some(start + Duration::from_secs_f64(bytes as f64 / self.bytes_per_second));
        Giving::Send(self.waiting.remove(0))
    }
}
