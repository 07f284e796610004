//! Recognizes proposals that were applied before.

use names::{Incarnation, Instance};
use serde::{Deserialize, Serialize};

use crate::Origin;

/// Most runs of instances whose proposals are remembered.
const MAX_SESSIONS: usize = 2048;

/// Runs of one instance that are remembered. A run may have a smaller number than the one before,
/// when the wall clock was set back.
const MAX_RUNS: usize = 4;

/// Sequence numbers below the greatest that are remembered one by one.
const WINDOW: u64 = 1024;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Session {
    instance: Instance,
    incarnation: Incarnation,
    greatest: u64,
    /// Sequence numbers within the window that were not applied.
    missing: Vec<u64>,
    used: u64,
}

/// The proposals applied, by the run of the instance that proposed them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sessions {
    list: Vec<Session>,
    used: u64,
}

impl Sessions {
    /// Records `origin`; false when it was applied before or is too old to tell.
    pub fn accept(&mut self, origin: &Origin) -> bool {
        self.used += 1;
        let used = self.used;
        let run = (&origin.instance, origin.incarnation);
        let found = self.list.binary_search_by(|session| session.run().cmp(&run));
        let index = match found {
            Ok(index) => index,
            Err(index) => {
                self.list.insert(index, Session::new(origin));
                index
            }
        };
        self.list[index].used = used;
        let is_new = self.list[index].accept(origin.sequence);
        if found.is_err() {
            self.forget(&origin.instance);
        }
        is_new
    }

    /// Forgets the run that has proposed nothing for the longest, of `instance` if there are too
    /// many of it, else of all.
    fn forget(&mut self, instance: &Instance) {
        let is_same = |session: &Session| session.instance == *instance;
        let has_many_runs = self.list.iter().filter(|one| is_same(one)).count() > MAX_RUNS;
        if !has_many_runs && self.list.len() <= MAX_SESSIONS {
            return;
        }
        let among = self.list.iter().enumerate();
        let among = among.filter(|(_, session)| !has_many_runs || is_same(session));
        if let Some((index, _)) = among.min_by_key(|(_, session)| session.used) {
            self.list.remove(index);
        }
    }
}

impl Session {
    fn new(origin: &Origin) -> Self {
        Self {
            instance: origin.instance.clone(),
            incarnation: origin.incarnation,
            greatest: 0,
            missing: Vec::new(),
            used: 0,
        }
    }

    fn run(&self) -> (&Instance, Incarnation) {
        (&self.instance, self.incarnation)
    }

    fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.greatest {
            let lowest = sequence.saturating_sub(WINDOW).max(self.greatest + 1);
            self.missing.extend(lowest..sequence);
            self.greatest = sequence;
            self.missing.retain(|missing| *missing + WINDOW >= sequence);
            return true;
        }
        match self.missing.binary_search(&sequence) {
            Ok(index) => {
                self.missing.remove(index);
                true
            }
            Err(_) => false,
        }
    }
}
