//! Routing decisions of entry instances: upstream selection, load estimation and retries.
//!
//! The crate does no I/O and reads no clock; the caller passes the current time.
//!
//! - [`Affinity`] and [`LeastLoad`] choose an upstream among [`Candidate`]s. A [`LoadEstimate`]
//!   estimates the load of each candidate, also from [`LoadGossip`], the loads that other instances
//!   report.
//! - In a large fleet a [`TrackerSearch`] asks the load trackers of upstreams. A load tracker is an
//!   instance that counts the requests at an upstream in a [`LoadCounter`] and averages its latency
//!   in [`Latencies`].
//! - [`FairShares`] divide the places of an upstream among client accounts, by the [`AccountCounts`]
//!   of its load tracker.
//! - [`RateLimits`] keep to the rates that upstreams name, and to the allowance of cold upstreams
//!   ([`ColdLimits`], [`ColdTime`]).
//! - An [`EngineCost`] compares engines by the prompts that they have not read yet and by their pace,
//!   where upstreams name one.
//! - [`Cordons`] remember the upstreams that want no new requests.
//! - [`RequestBytes`] limit the bytes of requests that an upstream has to hold.
//! - [`find_context_source()`] names an engine that has a context in its cache.
//! - A [`WaitQueue`] is the queue of requests that wait for an upstream. A [`StartRate`] tells whether a
//!   request can leave it in time.
//! - [`FailedAttempt`] decides what follows a failed or silent attempt, and [`RetryWindow`] limits
//!   retries.
//! - A [`StreamTracker`] tracks a stream of events so that another upstream can resume the stream. An
//!   [`EventBoundary`] shows whether any response ends within an event.
//! - A [`Shutdown`] decides which requests an instance accepts while it shuts down. A [`Grace`] has
//!   the time limits of the shutdown, which count from the time at which the signal may have been sent
//!   according to a [`Heartbeat`].

mod candidate;
mod cold_allowance;
mod cold_time;
mod context_source;
mod cordon;
mod evacuation;
mod event_boundary;
mod fair_shares;
mod grace;
mod latency;
mod load_counter;
mod load_estimate;
mod load_gossip;
mod pace;
mod policy;
mod prompt_cost;
mod rate_limit;
mod request_bytes;
mod request_rate;
mod retry;
mod retry_window;
mod search;
mod shutdown;
mod start_rate;
mod startup;
mod stream;
mod wait_queue;

pub use candidate::{Candidate, NamedLimit, slow_start_share};
pub use cold_allowance::{ColdLimits, PromptLength};
pub use cold_time::ColdTime;
pub use context_source::{ContextHolders, ContextSource, find_context_source};
pub use cordon::Cordons;
pub use evacuation::Evacuations;
pub use event_boundary::{EventBoundary, is_event_stream};
pub use fair_shares::{
    AccountCounts, AccountRequests, CompetingAccounts, FairShares, MAX_ACCOUNTS, ShareCounts,
    ShareDecision,
};
pub use grace::{Grace, HEARTBEAT_INTERVAL, Heartbeat};
pub use latency::{LATENCY_SAMPLE_EVENTS, Latencies};
pub use load_counter::{COUNT_REPORT_INTERVAL, LoadCounter, MeanInFlight, UpstreamWork};
pub use load_estimate::{LoadEstimate, Report, mean_load};
pub use load_gossip::{GossipConfig, Load, LoadGossip};
pub use pace::{Pace, PaceEstimate};
pub use policy::{
    Affinity, LeastLoad, Policy, RoutingKey, home, shuffled_order, without_limited_strangers,
};
pub use prompt_cost::{CachedContext, EngineCost, EngineWork, PromptSize, PromptWork, cheapest};
pub use rate_limit::{LimitChange, LimitReport, RateLimits};
pub use request_bytes::RequestBytes;
pub use request_rate::{InvalidRate, RequestRate};
pub use retry::{FailedAttempt, RetryDecision, SilenceDecision};
pub use retry_window::{RetryAllowance, RetryWindow};
pub use search::{SearchCandidate, SearchConfig, SearchStep, TrackerSearch, move_cold_last};
pub use shutdown::Shutdown;
pub use start_rate::{StartRate, spread_retry};
pub use startup::{StartupDecision, StartupQueue};
pub use stream::{StreamTracker, stall_timeout};
pub use wait_queue::{QueuedWork, WaitQueue};

/// Minimum number of instances of a large fleet, in which each instance sees only a small part of
/// the requests.
const LARGE_FLEET_INSTANCES: usize = 16;

/// Returns whether a fleet of `instances` is large, so that each instance sees only a small part of
/// the requests.
pub fn is_large_fleet(instances: usize) -> bool {
    instances >= LARGE_FLEET_INSTANCES
}
