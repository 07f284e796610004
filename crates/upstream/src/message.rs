//! Messages about upstreams between the instances of a data centre.

use names::{Incarnation, Upstream};
use serde::{Deserialize, Serialize};

use crate::Record;

/// Number of buckets into which the set of upstreams is divided for comparison.
pub const BUCKETS: usize = 16;

/// Hashes of the buckets of the set of upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest(pub [u32; BUCKETS]);

/// A message about upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// An upstream joined, is leaving, changed or expired.
    Change(Record),
    /// A known announcement was renewed. Sent only to the owner of the upstream.
    Renewal {
        /// Name of the upstream.
        upstream: Upstream,
        /// Incarnation of the upstream.
        incarnation: Incarnation,
    },
    /// The owner's request for a renewal that it may have missed, before the upstream expires.
    Query {
        /// Name of the upstream.
        upstream: Upstream,
        /// Incarnation of the upstream.
        incarnation: Incarnation,
    },
    /// Digest of the sender's set, to be compared with the receiver's.
    Digest {
        /// Hashes of the sender's buckets.
        digest: Digest,
        /// Whether the sender needs an answer even if the sets are equal.
        wants_answer: bool,
    },
    /// The sender's records in some buckets of the set.
    Records {
        /// Indexes of the buckets.
        buckets: Vec<u8>,
        /// All records in these buckets.
        records: Vec<Record>,
        /// Whether the receiver should answer with the records that are newer in its own set.
        wants_answer: bool,
    },
}
