//! What is known of one upstream.

use std::net::SocketAddr;

use names::{DataCentre, Service, Upstream};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Whether an upstream takes new work.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Standing {
    /// It takes work.
    Ready,
    /// It ends what it has and takes nothing new.
    Draining,
    /// It said that it leaves.
    Gone,
}

/// What an upstream says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Its name.
    pub upstream: Upstream,
    /// The service that it answers for.
    pub service: Service,
    /// Where it is called.
    pub address: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub standing: Standing,
    /// Start of its run, in milliseconds of Unix time; 0 if it does not say.
    pub born: u64,
    /// Grows with every announcement of a run.
    pub sequence: u64,
}

/// What is spread about an upstream: its newest announcement that differed from the one before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The announcement.
    pub announcement: Announcement,
}

impl Record {
    /// Orders records about the same upstream; the greatest wins.
    pub(crate) fn precedence(&self) -> (u64, bool, u64) {
        let one = &self.announcement;
        (one.born, one.standing == Standing::Gone, one.sequence)
    }

    /// A hash of what matters to others, the same however often the upstream repeated it.
    pub(crate) fn hash(&self) -> u64 {
        let one = &self.announcement;
        let mut hasher = Xxh3::new();
        hasher.update(one.upstream.as_str().as_bytes());
        hasher.update(&[0, one.standing as u8]);
        hasher.update(&one.born.to_le_bytes());
        if one.standing != Standing::Gone {
            hasher.update(one.service.as_str().as_bytes());
            hasher.update(one.address.to_string().as_bytes());
        }
        hasher.digest()
    }

    /// Whether `other` says the same, but for its sequence number.
    pub(crate) fn is_repeated_by(&self, other: &Self) -> bool {
        let sequence = self.announcement.sequence;
        let mut other = other.announcement.clone();
        other.sequence = sequence;
        self.announcement == other
    }
}
