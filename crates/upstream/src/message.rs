//! Messages between the instances of a data centre about their upstreams.

use names::{Incarnation, Upstream};
use serde::{Deserialize, Serialize};

use crate::Record;

/// Number of parts that the set of upstreams is compared in.
pub const BUCKETS: usize = 16;

/// Hashes of the parts of the set of upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest(pub [u32; BUCKETS]);

/// A message about upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// An upstream joined, leaves, altered or lapsed.
    Change(Record),
    /// A known announcement holds on; sent to the owner only.
    Renewal {
        /// The upstream.
        upstream: Upstream,
        /// Its run.
        incarnation: Incarnation,
    },
    /// Asks for a renewal that the owner missed, before the upstream lapses.
    Query {
        /// The upstream.
        upstream: Upstream,
        /// Its run.
        incarnation: Incarnation,
    },
    /// Compares the sets of two instances.
    Digest {
        /// The sender's set.
        digest: Digest,
        /// Whether an answer is wanted also when the sets are equal.
        wants_answer: bool,
    },
    /// The sender's records in some parts of the set.
    Records {
        /// The parts.
        buckets: Vec<u8>,
        /// All records in them.
        records: Vec<Record>,
        /// Whether the receiver's newer records are wanted in return.
        wants_answer: bool,
    },
}
