//! Interface of admission queues.

use std::fmt;
use std::time::{Duration, Instant};

use declare::Rank;
use names::{ClientAccount, Kind};
use serde::{Deserialize, Serialize};

/// Id of a request in its admission queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// Number of prompt and response tokens together.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Tokens(pub u64);

impl fmt::Display for Tokens {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} tokens", self.0)
    }
}

/// Request that is submitted to an admission queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Id of the request in the queue.
    pub request_id: RequestId,
    /// Client account that sent the request.
    pub account: ClientAccount,
    /// Share of the account relative to the weights of other accounts.
    pub weight: u32,
    /// Kind of work.
    pub kind: Kind,
    /// Rank of the kind of work.
    pub rank: Rank,
    /// Minimum share of the upstream that the kind of work gets under overload, in percent.
    pub least_share_percent: u32,
    /// Time after which the response is useless.
    pub deadline: Instant,
    /// Expected cost.
    pub cost: Tokens,
}

/// Immediate decision about a submitted request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request runs.
    Run,
    /// The request waits until a later [`QueueAction`].
    Wait,
    /// The request is refused.
    Refuse {
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
}

/// Decision about a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueAction {
    /// The request runs.
    Run(RequestId),
    /// The request is refused because its deadline can no longer be met or the queue is full.
    Refuse {
        /// Id of the refused request.
        request_id: RequestId,
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
}

/// Admission queue of one upstream.
pub trait AdmissionQueue {
    /// Submits a request.
    fn submit(&mut self, now: Instant, request: AdmissionRequest) -> Decision;

    /// Records the end of a running request and the tokens that it used.
    fn finish(&mut self, now: Instant, request_id: RequestId, used: Tokens);

    /// Removes a waiting request whose caller has disconnected.
    fn withdraw(&mut self, request_id: RequestId);

    /// Sets the largest number of requests that may run at once.
    fn set_max_running(&mut self, max_running: u32);

    /// Returns the decisions about waiting requests at `now`. The owner of the queue calls this
    /// after each change and periodically.
    fn next_actions(&mut self, now: Instant) -> Vec<QueueAction>;

    /// Returns the number of running requests.
    fn running(&self) -> u32;

    /// Returns the number of waiting requests.
    fn waiting(&self) -> u32;

    /// Returns the number of waiting requests that a new request of `rank` does not overtake.
    fn waiting_ahead(&self, rank: Rank) -> u32;
}
