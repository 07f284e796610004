//! Messages between the instances of a data centre about permits.

use std::fmt;

use admission::Tokens;
use declare::{Rank, Selector, Target};
use names::{ClientAccount, Instance, Kind, Model, Upstream};
use serde::{Deserialize, Serialize};

/// Id of a permit. Ids that one run of an owner assigns increase with each permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PermitId(pub u64);

impl fmt::Display for PermitId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// The upstreams that can serve a target, in serialisable form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Pool {
    /// Upstreams that serve this model.
    Model(Model),
    /// Upstreams of the plain protocol whose labels match this selector.
    Upstreams(Selector),
}

impl From<Target> for Pool {
    fn from(target: Target) -> Self {
        match target {
            Target::Model(model) => Self::Model(model),
            Target::Upstreams(selector) => Self::Upstreams(selector),
        }
    }
}

impl From<Pool> for Target {
    fn from(pool: Pool) -> Self {
        match pool {
            Pool::Model(model) => Self::Model(model),
            Pool::Upstreams(selector) => Self::Upstreams(selector),
        }
    }
}

/// Number of requests in flight.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlight {
    /// Requests of holders that are known to be alive.
    pub certain: u32,
    /// Requests of holders that left the membership or are suspected, and may still be calling.
    pub uncertain: u32,
}

impl InFlight {
    /// Returns the number of all requests, certain and uncertain.
    pub fn all(self) -> u32 {
        self.certain + self.uncertain
    }

    pub(crate) fn combine<F>(self, other: Self, combine: F) -> Self
    where
        F: Fn(u32, u32) -> u32,
    {
        Self {
            certain: combine(self.certain, other.certain),
            uncertain: combine(self.uncertain, other.uncertain),
        }
    }
}

/// Load of upstreams as observed by a requester during its search.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservedLoad {
    /// Requests in flight at the upstreams.
    pub load: InFlight,
    /// Number of requests that the upstreams can process at once.
    pub slots: u64,
}

/// Request to the owner of an upstream for a permit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Number of the permit request, unique within one run of the sender. The reply repeats it.
    pub number: u64,
    /// The upstream to call.
    pub upstream: Upstream,
    /// Pool over which the mean load is computed.
    pub pool: Pool,
    /// Account that the caller's request belongs to.
    pub account: ClientAccount,
    /// Weight of the account's share relative to other accounts.
    pub weight: u32,
    /// Kind of work of the request.
    pub kind: Kind,
    /// Rank of the kind.
    pub rank: Rank,
    /// Minimum share of the upstream that the kind keeps under overload, in percent.
    pub least_share_percent: u32,
    /// Time until the deadline of the request, in milliseconds.
    pub remaining_millis: u64,
    /// Expected cost of the request.
    pub cost: Tokens,
    /// Load that the requester just observed at all upstreams that can serve the request.
    pub observed: Option<ObservedLoad>,
    /// Whether the request may be queued at the upstream.
    pub may_wait: bool,
}

/// Outcome of a [`PermitRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream may be called once.
    Granted(PermitId),
    /// The upstream is at its limit.
    Full {
        /// Load of the upstream.
        load: ObservedLoad,
        /// Number of queued requests that run before a request of the requester's rank.
        waiting: u32,
    },
    /// The request is queued; a second reply follows.
    Queued,
    /// The request cannot be served in time.
    Refused {
        /// Time until a retry, in milliseconds.
        retry_after_millis: u64,
    },
    /// The upstream accepts no new requests.
    Unavailable,
    /// The instance does not own the upstream, or is still taking it over.
    NotOwner,
}

/// Permits of one upstream that an instance holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReport {
    /// The upstream that the permits are for.
    pub upstream: Upstream,
    /// Permits that the sender holds.
    pub permits: Vec<PermitId>,
    /// Whether the receiver owns the upstream in the sender's view.
    pub agrees: bool,
}

/// Message between instances about permits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a permit.
    Request(PermitRequest),
    /// Reply to a permit request.
    Reply {
        /// Number of the permit request.
        number: u64,
        /// Outcome of the permit request.
        outcome: Outcome,
    },
    /// Withdraws a permit request, and releases the permit if it was granted already.
    Withdraw {
        /// Number of the permit request.
        number: u64,
    },
    /// Asks for one notification when the upstream has capacity and an empty queue.
    Watch {
        /// The upstream to watch.
        upstream: Upstream,
        /// Pool over which the mean load is computed.
        pool: Pool,
    },
    /// Notifies a watching instance that the upstream has capacity.
    Capacity {
        /// The upstream that has capacity.
        upstream: Upstream,
        /// Pool over which the mean load is computed.
        pool: Pool,
    },
    /// Releases a permit.
    Release {
        /// The permit to release.
        permit: PermitId,
        /// Actual cost of the call.
        used: Tokens,
    },
    /// Claims ownership of upstreams and asks for reports of the permits held for them.
    Claim {
        /// Upstreams that the sender now owns.
        upstreams: Vec<Upstream>,
    },
    /// Notifies the owner in the sender's view that another instance claims these upstreams.
    Contest {
        /// Upstreams that another instance claims.
        upstreams: Vec<Upstream>,
    },
    /// Reply to a claim, or report to an owner of permits that another owner granted.
    Reports(Vec<PermitReport>),
    /// Periodic report of all permits that the sender holds and the receiver counts.
    Reconcile {
        /// Newest permit that the receiver granted to the sender.
        newest: Option<PermitId>,
        /// Permits that the sender holds, by upstream.
        reports: Vec<PermitReport>,
    },
    /// The sender's part of a pool's load, sent to the aggregator of the pool.
    PoolLoadPart {
        /// Pool that the load belongs to.
        pool: Pool,
        /// Requests in flight at the upstreams that the sender owns.
        load: InFlight,
        /// Digest of the sender's view; loads from a different view are ignored.
        view: u32,
    },
    /// Total load of a pool, sent by its aggregator.
    PoolLoadTotal {
        /// Pool that the load belongs to.
        pool: Pool,
        /// Requests in flight at all upstreams of the pool.
        load: InFlight,
        /// Digest of the sender's view; loads from a different view are ignored.
        view: u32,
    },
    /// Asks the owner of a conversation's home upstream where the conversation was sent last.
    Locate {
        /// Key of the conversation, the same for all its requests.
        key: u64,
    },
    /// Reply to [`Message::Locate`]; not sent if the owner does not know the location.
    Location {
        /// Key of the conversation, the same for all its requests.
        key: u64,
        /// Upstream that the conversation was sent to last.
        upstream: Upstream,
    },
    /// Tells the owner of a conversation's home upstream that the conversation was sent to a
    /// different upstream than before.
    LocationChanged {
        /// Key of the conversation, the same for all its requests.
        key: u64,
        /// Upstream that the conversation was sent to.
        upstream: Upstream,
    },
    /// Message that a third instance relays because the direct link is cut.
    Relayed {
        /// Original sender.
        origin: Instance,
        /// Final receiver.
        destination: Instance,
        /// The relayed message.
        message: Box<Message>,
    },
}
