//! What instances tell each other about one upstream.

use std::cmp::Ordering;

use names::{Incarnation, Upstream};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::Announcement;

/// An announcement with the order that it has among others of the same upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// What the upstream announced.
    pub announcement: Announcement,
    /// Grows with each change of the announcement in a run.
    pub version: u64,
    /// Whether the announcement lapsed or was withdrawn.
    pub is_gone: bool,
}

impl Record {
    /// The upstream that it is about.
    pub fn upstream(&self) -> &Upstream {
        &self.announcement.upstream
    }

    /// Hash of the content.
    pub fn hash(&self) -> u64 {
        postcard::to_allocvec(self).map_or(0, |bytes| xxh3_64(&bytes))
    }

    /// Whether this record replaces `other` about the same upstream. Of two changes made at once
    /// the one that gives less work wins: gone, then leaving.
    pub fn supersedes(&self, other: &Self) -> bool {
        match self.precedence().cmp(&other.precedence()) {
            Ordering::Equal => self.hash() > other.hash(),
            ordering => ordering == Ordering::Greater,
        }
    }

    fn precedence(&self) -> (Incarnation, u64, bool, bool) {
        let announcement = &self.announcement;
        (announcement.incarnation, self.version, self.is_gone, announcement.is_leaving)
    }
}
