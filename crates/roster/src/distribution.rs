//! Who follows whom, so that control instances speak with few others in a large fleet.
//!
//! Of each data centre a few entry instances, the relays, follow the control instances; the others
//! follow relays. All choose relays by the same order of names, so nothing has to be agreed on. An
//! instance that hears nothing of its relays for a while follows control instances itself.

use std::time::{Duration, Instant};

use membership::seniority;
use names::Instance;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Entry instances of a data centre that follow control instances.
const RELAYS: usize = 4;

/// Sources that an instance follows at once: news go on while two of them are lost.
const FOLLOWED: usize = 3;

/// How long a source may say nothing; they speak every second.
const SILENCE: Duration = Duration::from_millis(1300);

/// An instance that can be followed.
#[derive(Debug, Clone)]
struct Source {
    instance: Instance,
    /// When it last spoke, or was met.
    heard: Instant,
}

/// The sources of news in order of preference.
#[derive(Debug, Clone)]
pub struct Tree {
    me: Instance,
    is_control: bool,
    is_wide: bool,
    is_relay: bool,
    controls: Vec<Source>,
    /// The relays of the data centre but for this instance, the preferred first.
    relays: Vec<Source>,
}

/// `instances` as sources; what is known of those in `former` stays known.
fn sources(now: Instant, instances: Vec<Instance>, former: &[Source]) -> Vec<Source> {
    let source = |instance: Instance| {
        let known = former.iter().find(|one| one.instance == instance);
        let heard = known.map_or(now, |one| one.heard);
        Source { instance, heard }
    };
    instances.into_iter().map(source).collect()
}

impl Source {
    fn is_silent(&self, now: Instant) -> bool {
        now > self.heard + SILENCE
    }
}

impl Tree {
    /// The tree as `me` sees it, which knows nobody yet.
    pub fn new(me: Instance, is_control: bool) -> Self {
        let (controls, relays) = (Vec::new(), Vec::new());
        Self { me, is_control, is_wide: false, is_relay: false, controls, relays }
    }

    /// Takes the control instances and the other entry instances of the data centre that live now,
    /// in a fleet that `is_wide` or not.
    pub fn set_members(
        &mut self,
        now: Instant,
        controls: Vec<Instance>,
        neighbours: &[Instance],
        is_wide: bool,
    ) {
        self.is_wide = is_wide;
        self.controls = sources(now, controls, &self.controls);
        let mut entries: Vec<&Instance> = neighbours.iter().collect();
        if !self.is_control {
            entries.push(&self.me);
        }
        entries.sort_by_key(|one| (seniority(one), *one));
        entries.truncate(RELAYS);
        self.is_relay = is_wide && entries.contains(&&self.me);
        let others = entries.into_iter().filter(|one| **one != self.me);
        self.relays = sources(now, others.cloned().collect(), &self.relays);
    }

    /// Takes note that `sender` spoke.
    pub fn hear(&mut self, now: Instant, sender: &Instance) {
        let all = self.controls.iter_mut().chain(&mut self.relays);
        for source in all.filter(|one| one.instance == *sender) {
            source.heard = now;
        }
    }

    /// Whether others follow this instance in place of control instances.
    pub fn is_relay(&self) -> bool {
        self.is_relay
    }

    /// Whether this instance passes news on to those that follow it.
    pub fn passes_on(&self) -> bool {
        self.is_control || self.is_relay
    }

    /// Whether news that `sender` brought have to be passed on from here: other control instances
    /// tell their followers themselves in a large fleet.
    pub fn spreads(&self, sender: &Instance) -> bool {
        let is_told = self.is_wide && self.is_control && self.is_source(sender);
        self.passes_on() && !is_told
    }

    /// Whether `instance` is a control instance.
    pub fn is_source(&self, instance: &Instance) -> bool {
        self.controls.iter().any(|one| one.instance == *instance)
    }

    /// The other instances of the data centre that ask control instances for documents, if only
    /// some do.
    pub fn openers(&self) -> Option<Vec<Instance>> {
        let relays = || self.relays.iter().map(|one| one.instance.clone()).collect();
        self.is_wide.then(relays)
    }

    /// The instances to follow at `now`.
    pub fn followed(&self, now: Instant) -> Vec<Instance> {
        let controls = self.controls.iter().map(|one| &one.instance);
        if !self.is_wide || self.passes_on() {
            return controls.cloned().collect();
        }
        let vocal = self.relays.iter().filter(|one| !one.is_silent(now)).take(FOLLOWED);
        let silent = self.relays.iter().filter(|one| one.is_silent(now));
        let mut followed: Vec<Instance> = vocal.map(|one| one.instance.clone()).collect();
        if followed.len() < FOLLOWED.min(self.relays.len()).max(1) {
            let mut controls: Vec<&Instance> = controls.collect();
            let own =
                |one: &Instance| xxh3_64_with_seed(one.as_str().as_bytes(), seniority(&self.me));
            controls.sort_by_key(|one| own(one));
            let missing = FOLLOWED - followed.len();
            followed.extend(controls.into_iter().take(missing).cloned());
        }
        // Silent ones are told too, so that they are heard of when they are back.
        followed.extend(silent.map(|one| one.instance.clone()));
        followed
    }
}
