//! The duties whose messages share the transport.

use serde::{Deserialize, Serialize};

/// The duty that a message belongs to; traffic is counted by it.
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
    /// Changes in the set of upstreams.
    Upstream,
    /// Permits for upstreams, asked of their owners.
    Permit,
    /// Load sums from which the mean load is computed.
    Load,
    /// The replicated log.
    State,
    /// Claims and results of non-idempotent requests.
    Ledger,
    /// Declarations in force.
    Declare,
    /// Use of client accounts, for limits that hold fleet-wide.
    Account,
    /// What control instances tell entry instances: routes in force and upstreams.
    Feed,
}

/// How a message travels.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transport {
    /// Ordered, retransmitted while the connection lasts.
    Tcp,
    /// Single datagrams that may be lost.
    Udp,
}
