//! Messages between control instances and those that follow them.

use catalogue::{Change, Document, Number};
use roster::{BUCKETS, Record};
use serde::{Deserialize, Serialize};

/// What travels in [`wire::Slice::Feed`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Message {
    /// The sender wants news, and says what it has.
    Follow {
        /// The number of its document.
        number: Number,
        /// The digest of its roster.
        roster: u64,
    },
    /// The sender has the document with this number.
    HasDocument(Number),
    /// Digests of the parts of the sender's roster, which differs from the receiver's.
    RosterDigests([u64; BUCKETS]),
    /// Asks for the records of parts of the roster, whose bits are set.
    WantRecords(u16),
    /// Asks for the newest document; the sender has the one with this number.
    FetchDocument(Number),
    /// A committed document.
    Document(Document),
    /// Committed changes, one after the other, of the document that the receiver has.
    Changes(Vec<Change>),
    /// Records of upstreams.
    Records(Vec<Record>),
    /// Short names, sorted, of upstreams that announced themselves lately, to the sender or to
    /// those that it follows.
    HeardUpstreams(Vec<u32>),
}
