//! The upstreams known to an instance.

use std::time::Instant;

use declare::Target;
use names::{Incarnation, Upstream};

use crate::{Announcement, Error, Load, Protocol};

/// What an announcement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Change {
    /// An unknown upstream, or a new run of a known one.
    Joined,
    /// A known upstream wants no new work from now on.
    Leaving,
    /// Something else about a known upstream changed.
    Altered,
    /// Only the deadline moved.
    Renewed,
    /// The announcement is of an earlier run and was ignored.
    Outdated,
}

/// One known upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Its newest announcement.
    pub announcement: Announcement,
    /// When the announcement lapses.
    pub deadline: Instant,
    /// Its newest load report.
    pub load: Option<Load>,
}

impl Entry {
    /// Whether the upstream may receive new work at `now`.
    pub fn is_available(&self, now: Instant) -> bool {
        !self.announcement.is_leaving && now < self.deadline
    }

    /// Whether the upstream can answer requests for `target`.
    pub fn serves(&self, target: &Target) -> bool {
        match target {
            Target::Model(model) => {
                self.announcement.protocol == Protocol::ChatCompletions
                    && self.announcement.models.contains(model)
            }
            Target::Upstreams(selector) => {
                self.announcement.protocol == Protocol::Plain
                    && selector.matches(&self.announcement.labels)
            }
        }
    }
}

/// The known upstreams, sorted by name.
#[derive(Debug, Default)]
pub struct Registry {
    entries: Vec<Entry>,
}

impl Registry {
    fn find(&self, upstream: &Upstream) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.announcement.upstream.cmp(upstream))
    }

    /// Takes an announcement that arrived at `now`.
    pub fn announce(&mut self, now: Instant, announcement: Announcement) -> Change {
        let deadline = now + announcement.expires_in.as_duration();
        match self.find(&announcement.upstream) {
            Err(index) => {
                self.entries.insert(index, Entry { announcement, deadline, load: None });
                Change::Joined
            }
            Ok(index) => {
                let entry = &mut self.entries[index];
                let change = change_between(&entry.announcement, &announcement);
                if change != Change::Outdated {
                    entry.announcement = announcement;
                    entry.deadline = deadline;
                }
                if change == Change::Joined {
                    entry.load = None;
                }
                change
            }
        }
    }

    /// Forgets the run `incarnation` of an upstream; true when it was known.
    pub fn withdraw(&mut self, upstream: &Upstream, incarnation: Incarnation) -> bool {
        match self.find(upstream) {
            Ok(index) if self.entries[index].announcement.incarnation <= incarnation => {
                self.entries.remove(index);
                true
            }
            _ => false,
        }
    }

    /// Takes a load report.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] when that run of the upstream is not announced.
    pub fn report(&mut self, load: Load) -> Result<(), Error> {
        let unknown = Error::Unknown { upstream: load.upstream.to_string() };
        let index = self.find(&load.upstream).map_err(|_| unknown)?;
        let entry = &mut self.entries[index];
        if entry.announcement.incarnation == load.incarnation {
            entry.load = Some(load);
        }
        Ok(())
    }

    /// Forgets the upstreams whose announcements have lapsed by `now`.
    pub fn expire(&mut self, now: Instant) -> Vec<Upstream> {
        let lapsed = self.entries.extract_if(.., |entry| entry.deadline <= now);
        lapsed.map(|entry| entry.announcement.upstream).collect()
    }

    /// The upstream called `upstream`.
    pub fn get(&self, upstream: &Upstream) -> Option<&Entry> {
        self.find(upstream).ok().map(|index| &self.entries[index])
    }

    /// All known upstreams in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }

    /// The upstreams that may receive new work for `target` at `now`, in the order of their names.
    pub fn available<'a>(
        &'a self,
        now: Instant,
        target: &'a Target,
    ) -> impl Iterator<Item = &'a Entry> {
        self.entries.iter().filter(move |entry| entry.is_available(now) && entry.serves(target))
    }
}

fn change_between(old: &Announcement, new: &Announcement) -> Change {
    if new.incarnation < old.incarnation {
        return Change::Outdated;
    }
    if new.incarnation > old.incarnation {
        return Change::Joined;
    }
    if new.is_leaving && !old.is_leaving {
        return Change::Leaving;
    }
    if new == old { Change::Renewed } else { Change::Altered }
}
