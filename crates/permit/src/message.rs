//! Messages between the instances of a data centre about permits.

use std::fmt;

use admission::Tokens;
use declare::{Rank, Selector, Target};
use names::{ClientAccount, Instance, Kind, Model, Upstream};
use serde::{Deserialize, Serialize};

/// Names a permit. Those of one run of an owner grow with each permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PermitId(pub u64);

impl fmt::Display for PermitId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// The upstreams that can serve a target, in the form that is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Pool {
    /// Engines that serve this model.
    Model(Model),
    /// Plain upstreams whose labels match.
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

/// Requests in flight.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Those of holders that are known to live.
    pub certain: u32,
    /// Those of holders that were lost from view and may still be calling.
    pub uncertain: u32,
}

impl Load {
    /// All, whether the lost holders live or not.
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

/// Load of upstreams that an asker saw on its walk.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Their requests in flight.
    pub load: Load,
    /// Requests that they work on at once.
    pub slots: u32,
}

/// Asks the owner of an upstream for a permit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Repeated in the answer; unique in the asker's run.
    pub number: u64,
    /// The upstream.
    pub upstream: Upstream,
    /// What the mean load is taken over.
    pub pool: Pool,
    /// Whose request it is.
    pub account: ClientAccount,
    /// The account's share relative to others.
    pub weight: u32,
    /// Its kind of work.
    pub kind: Kind,
    /// The kind's rank.
    pub rank: Rank,
    /// The share of the upstream that the kind keeps in a flood, in percent.
    pub least_share_percent: u32,
    /// Milliseconds until its answer stops to count.
    pub remaining_millis: u64,
    /// Its expected cost.
    pub cost: Tokens,
    /// What the asker just learned of all upstreams that can take the request.
    pub evidence: Option<Evidence>,
    /// Whether the request may wait at the upstream.
    pub may_wait: bool,
}

/// An owner's answer to an [`Ask`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream may be called once.
    Granted(PermitId),
    /// The upstream carries as much as it may.
    Full {
        /// Its load.
        load: Evidence,
        /// Requests that wait for it and that the asker's rank does not pass.
        waiting: u32,
    },
    /// The request waits; a second answer follows.
    Waiting,
    /// The request cannot be served in time.
    Refused {
        /// Milliseconds after which to ask again.
        retry_after_millis: u64,
    },
    /// The upstream takes no new work.
    Unavailable,
    /// The instance does not own the upstream, or not yet.
    NotOwner,
}

/// What an instance holds of one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The upstream.
    pub upstream: Upstream,
    /// Permits that the sender holds.
    pub permits: Vec<PermitId>,
    /// Whether the receiver owns the upstream in the sender's view.
    pub agrees: bool,
}

/// A message about permits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a permit.
    Ask(Ask),
    /// Answers an ask.
    Answer {
        /// Number of the ask.
        number: u64,
        /// What became of it.
        outcome: Outcome,
    },
    /// Gives an ask up, and the permit if it was granted already.
    Withdraw {
        /// Number of the ask.
        number: u64,
    },
    /// Asks to be told once when the upstream has room and nothing waits for it.
    Watch {
        /// The upstream.
        upstream: Upstream,
        /// What the mean load is taken over.
        pool: Pool,
    },
    /// Tells a watching instance that the upstream has room.
    Room {
        /// The upstream.
        upstream: Upstream,
        /// What the mean load is taken over.
        pool: Pool,
    },
    /// Gives a permit back.
    Release {
        /// The permit.
        permit: PermitId,
        /// What the call cost.
        used: Tokens,
    },
    /// The sender owns these upstreams now and asks for reports on them.
    Claim {
        /// The upstreams.
        upstreams: Vec<Upstream>,
    },
    /// Tells the owner in the sender's view that another instance claims these upstreams.
    Contest {
        /// The upstreams.
        upstreams: Vec<Upstream>,
    },
    /// Answers a claim, or tells an owner of permits that another one gave.
    Held(Vec<Report>),
    /// All permits that the sender holds of the receiver, from time to time.
    Holding {
        /// The newest permit that it got of the receiver.
        as_of: Option<PermitId>,
        /// What it holds.
        reports: Vec<Report>,
    },
    /// The sender's part of a pool's load, for the pool's aggregator.
    Part {
        /// The pool.
        pool: Pool,
        /// Requests in flight at the sender's upstreams.
        load: Load,
        /// Hash of the sender's view; sums of other views are not used.
        view: u32,
    },
    /// The load of a pool, from its aggregator.
    Total {
        /// The pool.
        pool: Pool,
        /// Requests in flight at all its upstreams.
        load: Load,
        /// Hash of the sender's view; sums of other views are not used.
        view: u32,
    },
    /// Asks the owner of a conversation's home where the conversation was sent last.
    Locate {
        /// The same for all requests of the conversation.
        key: u64,
    },
    /// Answers [`Message::Locate`]; left out when the owner does not know.
    Located {
        /// The same for all requests of the conversation.
        key: u64,
        /// Where it was sent last.
        upstream: Upstream,
    },
    /// Tells the owner of a conversation's home that the conversation was sent elsewhere than
    /// before.
    Sent {
        /// The same for all requests of the conversation.
        key: u64,
        /// Where it was sent.
        upstream: Upstream,
    },
    /// A message that a third instance passes on, where the direct link is cut.
    Relayed {
        /// Who sent it.
        origin: Instance,
        /// Whom it is for.
        addressee: Instance,
        /// The message.
        message: Box<Message>,
    },
}
