//! Distribution tree for updates, which keeps the number of instances that follow each control
//! instance small in a large fleet.
//!
//! A few entry instances of each data centre, the relays, follow the control instances; the other
//! entry instances follow relays. All instances choose the relays by the same order of names, so no
//! coordination is needed. An instance that receives nothing from its relays for a while follows
//! control instances directly.

use std::time::{Duration, Instant};

use membership::rank;
use names::Instance;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of entry instances of a data centre that follow control instances.
const RELAYS: usize = 4;

/// Number of sources that an instance follows at a time. Updates arrive even if two of them fail.
const FOLLOWED_SOURCES: usize = 3;

/// How long a source may send nothing before it counts as silent. Sources send every second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1300);

/// An instance that sends updates to its followers.
#[derive(Debug, Clone)]
struct Source {
    instance: Instance,
    /// When the instance last sent something, or became known.
    last_heard: Instant,
}

/// The sources of updates in order of preference.
#[derive(Debug, Clone)]
pub struct Tree {
    me: Instance,
    is_control: bool,
    is_large_fleet: bool,
    is_relay: bool,
    controls: Vec<Source>,
    /// Relays of the data centre without this instance, the preferred first.
    relays: Vec<Source>,
}

/// Returns `instances` as sources. Those that are in `previous` keep the time of their last
/// message.
fn sources(now: Instant, instances: Vec<Instance>, previous: &[Source]) -> Vec<Source> {
    let source = |instance: Instance| {
        let known = previous.iter().find(|source| source.instance == instance);
        let last_heard = known.map_or(now, |source| source.last_heard);
        Source { instance, last_heard }
    };
    instances.into_iter().map(source).collect()
}

impl Source {
    fn is_silent(&self, now: Instant) -> bool {
        now > self.last_heard + SILENCE_TIMEOUT
    }
}

impl Tree {
    /// Creates the tree as seen by the instance `me`, without other members.
    pub fn new(me: Instance, is_control: bool) -> Self {
        let (controls, relays) = (Vec::new(), Vec::new());
        Self { me, is_control, is_large_fleet: false, is_relay: false, controls, relays }
    }

    /// Sets the live control instances, and the live entry instances of the data centre other than
    /// this one, `neighbours`.
    pub fn set_members(
        &mut self,
        now: Instant,
        controls: Vec<Instance>,
        neighbours: &[Instance],
        is_large_fleet: bool,
    ) {
        self.is_large_fleet = is_large_fleet;
        self.controls = sources(now, controls, &self.controls);
        let mut entries: Vec<&Instance> = neighbours.iter().collect();
        if !self.is_control {
            entries.push(&self.me);
        }
        entries.sort_by_key(|instance| (rank(instance), *instance));
        entries.truncate(RELAYS);
        self.is_relay = is_large_fleet && entries.contains(&&self.me);
        let others = entries.into_iter().filter(|entry| **entry != self.me);
        self.relays = sources(now, others.cloned().collect(), &self.relays);
    }

    /// Records that `sender` sent a message.
    pub fn record_message(&mut self, now: Instant, sender: &Instance) {
        let all = self.controls.iter_mut().chain(&mut self.relays);
        for source in all.filter(|source| source.instance == *sender) {
            source.last_heard = now;
        }
    }

    /// Returns whether other entry instances follow this instance instead of control instances.
    pub fn is_relay(&self) -> bool {
        self.is_relay
    }

    /// Returns whether this instance forwards updates to its followers.
    pub fn forwards_updates(&self) -> bool {
        self.is_control || self.is_relay
    }

    /// Returns whether this instance forwards updates of `sender` to its followers. In a large
    /// fleet a control instance does not forward updates of other control instances, which send
    /// them to their followers themselves.
    pub fn forwards_updates_of(&self, sender: &Instance) -> bool {
        let sends_itself = self.is_large_fleet && self.is_control && self.is_control(sender);
        self.forwards_updates() && !sends_itself
    }

    /// Returns whether `instance` is a control instance other than this one.
    pub fn is_control(&self, instance: &Instance) -> bool {
        self.controls.iter().any(|source| source.instance == *instance)
    }

    /// Returns the other instances of the data centre that request documents from control
    /// instances, or `None` in a small fleet, in which all instances do.
    pub fn document_fetchers(&self) -> Option<Vec<Instance>> {
        let relays = || self.relays.iter().map(|source| source.instance.clone()).collect();
        self.is_large_fleet.then(relays)
    }

    /// Returns the instances to follow at `now`.
    pub fn followed(&self, now: Instant) -> Vec<Instance> {
        let controls = self.controls.iter().map(|source| &source.instance);
        if !self.is_large_fleet || self.forwards_updates() {
            return controls.cloned().collect();
        }
        let active =
            self.relays.iter().filter(|source| !source.is_silent(now)).take(FOLLOWED_SOURCES);
        let silent = self.relays.iter().filter(|source| source.is_silent(now));
        let mut followed: Vec<Instance> = active.map(|source| source.instance.clone()).collect();
        if followed.len() < FOLLOWED_SOURCES.min(self.relays.len()).max(1) {
            let mut controls: Vec<&Instance> = controls.collect();
            let own_order = |instance: &Instance| {
                xxh3_64_with_seed(instance.as_str().as_bytes(), rank(&self.me))
            };
            controls.sort_by_key(|instance| own_order(instance));
            let missing = FOLLOWED_SOURCES - followed.len();
            followed.extend(controls.into_iter().take(missing).cloned());
        }
        // Silent relays are still followed, so that their messages arrive when they recover.
        followed.extend(silent.map(|source| source.instance.clone()));
        followed
    }
}
