//! Replicated record of one upstream.

use std::cmp::Ordering;

use names::{Incarnation, Upstream};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::Announcement;

/// An announcement with the version that orders it among the announcements of the same upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Newest announcement of the upstream.
    pub announcement: Announcement,
    /// Version, which grows with each change of the announcement within an incarnation.
    pub version: u64,
    /// Whether the announcement expired or was withdrawn.
    pub is_gone: bool,
}

impl Record {
    /// Returns the name of the upstream.
    pub fn upstream(&self) -> &Upstream {
        &self.announcement.upstream
    }

    /// Returns the hash of the encoded record.
    pub fn hash(&self) -> u64 {
        postcard::to_allocvec(self).map_or(0, |bytes| xxh3_64(&bytes))
    }

    /// Returns whether this record replaces `other`, a record of the same upstream. Of two
    /// concurrent changes, the one that gives the upstream less work wins: first gone, then
    /// leaving.
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
