//! Recognizes proposals that were applied before.

use names::{Incarnation, Instance};
use serde::{Deserialize, Serialize};

use crate::Origin;

/// Most instances whose proposals are remembered.
const MAX_SESSIONS: usize = 1024;

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
        let found = self.list.binary_search_by(|session| session.instance.cmp(&origin.instance));
        let index = match found {
            Ok(index) => index,
            Err(index) => {
                self.list.insert(index, Session::new(origin, used));
                index
            }
        };
        let session = &mut self.list[index];
        if origin.incarnation < session.incarnation {
            return false;
        }
        if origin.incarnation > session.incarnation {
            *session = Session::new(origin, used);
        }
        session.used = used;
        let is_new = session.accept(origin.sequence);
        self.forget();
        is_new
    }

    /// Forgets the instance that has proposed nothing for the longest.
    fn forget(&mut self) {
        if self.list.len() <= MAX_SESSIONS {
            return;
        }
        let oldest = self.list.iter().enumerate().min_by_key(|(_, session)| session.used);
        if let Some((index, _)) = oldest {
            self.list.remove(index);
        }
    }
}

impl Session {
    fn new(origin: &Origin, used: u64) -> Self {
        Self {
            instance: origin.instance.clone(),
            incarnation: origin.incarnation,
            greatest: 0,
            missing: Vec::new(),
            used,
        }
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
