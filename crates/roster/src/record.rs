//! Announcements and records of upstreams.

use std::net::SocketAddr;

use names::{DataCentre, Service, Upstream};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Status of an upstream: whether it accepts new requests.
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
pub enum Status {
    /// The upstream accepts new requests.
    Ready,
    /// The upstream finishes its requests and accepts no new ones.
    Draining,
    /// The upstream announced that it leaves.
    Gone,
}

/// Announcement of an upstream about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the upstream.
    pub upstream: Upstream,
    /// Service that the upstream provides.
    pub service: Service,
    /// Address to which requests are sent.
    pub address: SocketAddr,
    /// Data centre in which the upstream runs.
    pub data_centre: DataCentre,
    /// Number of requests that the upstream processes concurrently.
    pub slots: u32,
    /// Whether the upstream accepts new requests.
    pub standing: Status,
    /// Start of the run of the upstream, in milliseconds of Unix time, or 0 if not announced.
    pub born: u64,
    /// Sequence number, which grows with every announcement of a run.
    pub sequence: u64,
    /// Time in milliseconds for which the upstream stays cold from the announcement on, or 0 if it is
    /// not cold.
    pub cold_remaining: u32,
}

/// Record about an upstream that instances exchange: the newest announcement that differed from the
/// previous announcement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The announcement.
    pub announcement: Announcement,
}

impl Record {
    /// Returns a key that orders records about the same upstream. The record with the
    /// greatest key takes precedence.
    pub(crate) fn precedence(&self) -> (u64, bool, u64) {
        let announcement = &self.announcement;
        (announcement.born, announcement.standing == Status::Gone, announcement.sequence)
    }

    /// Returns a hash of the parts that matter to other instances. Repeated announcements have the
    /// same hash.
    pub(crate) fn hash(&self) -> u64 {
        let announcement = &self.announcement;
        let mut hasher = Xxh3::new();
        hasher.update(announcement.upstream.as_str().as_bytes());
        hasher.update(&[0, announcement.standing as u8]);
        hasher.update(&announcement.born.to_le_bytes());
        if announcement.standing != Status::Gone {
            hasher.update(announcement.service.as_str().as_bytes());
            hasher.update(announcement.address.to_string().as_bytes());
            if announcement.cold_remaining > 0 {
                // The sequence number tells a time that has grown from the earlier one.
                hasher.update(&announcement.sequence.to_le_bytes());
            }
        }
        hasher.digest()
    }

    /// Returns whether `other` is equal except for its sequence number and the time for which the
    /// upstream stays cold.
    pub(crate) fn is_repeated_by(&self, other: &Self) -> bool {
        let sequence = self.announcement.sequence;
        let mut other = other.announcement.clone();
        other.sequence = sequence;
        other.cold_remaining = self.announcement.cold_remaining;
        self.announcement == other
    }
}
