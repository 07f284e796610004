//! Detection of duplicate proposals.

use names::{Incarnation, Instance};
use serde::{Deserialize, Serialize};

use crate::ProposalId;

/// Maximum number of sessions (incarnations of instances) that are kept.
const MAX_SESSIONS: usize = 2048;

/// Maximum number of sessions that are kept per instance. Several are kept because a new
/// incarnation may have a smaller number than its predecessor if the wall clock was set back.
const MAX_SESSIONS_PER_INSTANCE: usize = 4;

/// Number of sequence numbers below the greatest one that are tracked individually.
const SEQUENCE_WINDOW: u64 = 1024;

/// Applied proposals of one incarnation of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Session {
    instance: Instance,
    incarnation: Incarnation,
    /// Greatest sequence number that was applied.
    greatest: u64,
    /// Sequence numbers within the window that have not been applied, in ascending order.
    missing: Vec<u64>,
    /// Value of [`Sessions::use_count`] at the last proposal.
    last_used: u64,
}

/// Applied proposals, grouped by the incarnation of the instance that proposed them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sessions {
    /// Sessions, sorted by instance and incarnation.
    list: Vec<Session>,
    /// Number of proposals recorded so far.
    use_count: u64,
}

impl Sessions {
    /// Records `origin`. Returns `false` if the proposal was applied before or is too old to tell.
    pub fn accept(&mut self, origin: &ProposalId) -> bool {
        self.use_count += 1;
        let use_count = self.use_count;
        let key = (&origin.instance, origin.incarnation);
        let found = self.list.binary_search_by(|session| session.key().cmp(&key));
        let index = match found {
            Ok(index) => index,
            Err(index) => {
                self.list.insert(index, Session::new(origin));
                index
            }
        };
        self.list[index].last_used = use_count;
        let is_new = self.list[index].accept(origin.sequence);
        if found.is_err() {
            self.evict(&origin.instance);
        }
        is_new
    }

    /// Removes the least recently used session: among those of `instance` if it has too many,
    /// otherwise among all.
    fn evict(&mut self, instance: &Instance) {
        let is_same = |session: &Session| session.instance == *instance;
        let has_too_many_sessions =
            self.list.iter().filter(|session| is_same(session)).count() > MAX_SESSIONS_PER_INSTANCE;
        if !has_too_many_sessions && self.list.len() <= MAX_SESSIONS {
            return;
        }
        let candidates = self.list.iter().enumerate();
        let candidates =
            candidates.filter(|(_, session)| !has_too_many_sessions || is_same(session));
        if let Some((index, _)) = candidates.min_by_key(|(_, session)| session.last_used) {
            self.list.remove(index);
        }
    }
}

impl Session {
    fn new(origin: &ProposalId) -> Self {
        Self {
            instance: origin.instance.clone(),
            incarnation: origin.incarnation,
            greatest: 0,
            missing: Vec::new(),
            last_used: 0,
        }
    }

    fn key(&self) -> (&Instance, Incarnation) {
        (&self.instance, self.incarnation)
    }

    fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.greatest {
            let lowest = sequence.saturating_sub(SEQUENCE_WINDOW).max(self.greatest + 1);
            self.missing.extend(lowest..sequence);
            self.greatest = sequence;
            self.missing.retain(|missing| *missing + SEQUENCE_WINDOW >= sequence);
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
