//! The logical channels that share the transport.

use serde::{Deserialize, Serialize};

/// Logical channel that a message belongs to. Traffic is counted per slice.
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
    strum::EnumIter,
    strum::EnumCount,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Slice {
    /// Failure detection between instances.
    Membership,
    /// Changes of the set of upstreams.
    Upstream,
    /// Requests to the owners of upstreams for permits, and the answers.
    Permit,
    /// Sums of load, from which the mean load is computed.
    Load,
    /// Replication of the log.
    State,
    /// Claims and results of non-idempotent requests.
    Ledger,
    /// Declarations that are in force.
    Declare,
    /// Usage of client accounts, for limits that apply to the whole fleet.
    Account,
    /// Updates from control instances to entry instances: the routes in force and the upstreams.
    Feed,
    /// Parts of prompts that crash upstreams.
    Quarantine,
}

/// Transport protocol of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transport {
    /// Ordered delivery with retransmission while the connection lasts.
    Tcp,
    /// Single datagrams, which may be lost.
    Udp,
}
