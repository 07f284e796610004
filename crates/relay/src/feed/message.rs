//! Messages between control instances and their followers.

use catalogue::{Change, Document, Number};
use evacuation::Orders;
use roster::departure::Report;
use roster::durability::{Leave, Ticket};
use roster::{BUCKETS, Record};
use serde::{Deserialize, Serialize};

/// Message in [`wire::Slice::Feed`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Subscribes the sender to updates, and describes its state.
    Follow {
        /// Number of the document of the sender.
        number: Number,
        /// Digest of the roster of the sender.
        roster: u64,
        /// Digest of the evacuation orders of the sender, or `None` if it may know too few of them.
        evacuations: Option<u64>,
    },
    /// The sender has the document with this number.
    HasDocument(Number),
    /// Digests of the buckets of the sender's roster, sent when the roster differs from that of the
    /// receiver.
    RosterDigests([u64; BUCKETS]),
    /// Requests the records of the roster buckets whose bits are set.
    WantRecords(u16),
    /// Requests the newest document. The sender has the document with this number.
    FetchDocument(Number),
    /// A committed document.
    Document(Document),
    /// Committed changes, in order, to the document that the receiver has.
    Changes(Vec<Change>),
    /// Records of upstreams.
    Records(Vec<Record>),
    /// Sorted short hashes of the names of upstreams that recently announced themselves to the
    /// sender or to the instances that the sender follows.
    HeardUpstreams(Vec<u32>),
    /// Requests that the receiver, a control instance, stores a leave and confirms it with the
    /// ticket.
    StoreLeave(Ticket, Leave),
    /// The sender has the leave with the ticket on disk.
    LeaveStored(Ticket),
    /// The sender, a control instance, has the document with this number on disk.
    DocumentStored(Number),
    /// Evacuation orders that the sender knows.
    Evacuations {
        orders: Orders,
        /// Whether the sender knows the orders of its disk, or those of an instance that does.
        is_informed: bool,
    },
    /// Requests that the receiver, a control instance, stores the evacuation orders and confirms
    /// that.
    StoreEvacuations(Orders),
    /// The sender, a control instance, has the evacuation orders on disk.
    EvacuationsStored(Orders),
    /// Requests the departures that the receiver keeps.
    WantDepartures,
    /// Departures that the sender keeps.
    Departures(Vec<Report>),
}
