//! How a document spreads without filling the links of the few instances that have it first.

use std::time::{Duration, Instant};

use names::Instance;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Number;

/// Instances of a data centre that ask control instances at a time.
const OPENERS: usize = 2;

/// How long the others wait for these, a small part of the time in which a document has to be in
/// force everywhere. The next ones follow after the same time.
const OPENER_TIME: Duration = Duration::from_millis(500);

/// Share of a control instance's link that documents may take; the rest is for the log and for
/// heartbeats.
const LINK_SHARE: f64 = 0.5;

/// For how long documents may fill that share ahead; heartbeats behind them are late by as much.
const MAX_AHEAD: Duration = Duration::from_millis(200);

/// How long `me` waits for its `neighbours`, the other instances of its data centre, before it
/// asks a control instance for the document `number`.
pub fn turn(me: &Instance, neighbours: &[Instance], number: Number) -> Duration {
    let weight = |one: &Instance| xxh3_64_with_seed(one.as_str().as_bytes(), number.0);
    let own = weight(me);
    let before = neighbours.iter().filter(|one| weight(one) > own).count();
    OPENER_TIME * u32::try_from(before / OPENERS).unwrap_or(u32::MAX)
}

/// To how many others an instance of a large fleet hands a document.
const HEIRS: usize = 2;

/// The instances to which `me` hands the document `number` in a large fleet, of its `neighbours`, the
/// other instances of its data centre: two each, in an order that is the same for all. A document
/// that came from another data centre, as it `is_from_outside`, goes to the first of that order too.
pub fn heirs(
    me: &Instance,
    neighbours: &[Instance],
    number: Number,
    is_from_outside: bool,
) -> Vec<Instance> {
    let place = |one: &Instance| xxh3_64_with_seed(one.as_str().as_bytes(), number.0);
    let mut order: Vec<&Instance> = neighbours.iter().chain([me]).collect();
    order.sort_by_key(|one| (place(one), *one));
    let own = order.iter().position(|one| *one == me).unwrap_or_default();
    let heirs = order.iter().skip(own * HEIRS + 1).take(HEIRS);
    let root = order.first().filter(|_| is_from_outside);
    let chosen = root.into_iter().chain(heirs).filter(|one| **one != me);
    chosen.map(|one| (*one).clone()).collect()
}

/// What an instance lacks, and since when it knows.
#[derive(Debug, Clone, Copy, Default)]
pub struct Lack {
    since: Option<Instant>,
}

impl Lack {
    /// Whether a newer document is known to exist.
    pub fn is_known(&self) -> bool {
        self.since.is_some()
    }

    /// Takes note at `now` that a newer document exists; gives since when that is known.
    pub fn note(&mut self, now: Instant) -> Instant {
        *self.since.get_or_insert(now)
    }

    /// Takes note that the instance has the newest document that it knows of.
    pub fn end(&mut self) {
        self.since = None;
    }
}

/// What an instance that gives documents does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Giving {
    /// Sends the newest one to this instance.
    Send(Instance),
    /// Looks again at that time.
    Wait(Instant),
    /// Nobody waits.
    Done,
}

/// Documents that a control instance gives, as fast as its share of the link carries them.
#[derive(Debug, Clone)]
pub struct Outflow {
    bytes_per_second: f64,
    /// Who asked, the first first, each once.
    asked: Vec<Instance>,
    /// When the share of the link will have carried what was sent.
    until: Option<Instant>,
}

impl Outflow {
    /// Gives over a link of so many megabits a second.
    pub fn new(link_megabits: f64) -> Self {
        let bytes_per_second = link_megabits * 1e6 / 8.0 * LINK_SHARE;
        Self { bytes_per_second, asked: Vec::new(), until: None }
    }

    /// Takes note that `instance` wants the newest document. One that `gives` documents itself
    /// goes before others: it takes askers over.
    pub fn ask(&mut self, instance: Instance, gives: bool) {
        if self.asked.contains(&instance) {
            return;
        }
        match gives {
            true => self.asked.insert(0, instance),
            false => self.asked.push(instance),
        }
    }

    /// What to do at `now`, with a newest document of `bytes`.
    pub fn next(&mut self, now: Instant, bytes: usize) -> Giving {
        if self.asked.is_empty() {
            return Giving::Done;
        }
        let from = self.until.map_or(now, |until| until.max(now));
        if from > now + MAX_AHEAD {
            return Giving::Wait(from - MAX_AHEAD);
        }
        self.until = Some(from + Duration::from_secs_f64(bytes as f64 / self.bytes_per_second));
        Giving::Send(self.asked.remove(0))
    }
}
