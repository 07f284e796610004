//! Settings of entry instances that choose upstreams themselves, without permits of owners.

use serde::{Deserialize, Serialize};
use units::{Size, Span};

/// Services with engines for which requests are placed by the cost of their prompts.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum PromptCosts {
    /// Services of which an engine has named its pace.
    #[default]
    Paced,
    /// All services. An engine that names no pace has the usual one.
    Always,
}

/// Retry, load and link settings of entry instances that choose upstreams themselves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Direct {
    /// Maximum number of retries per request of a service.
    pub repeat_ratio: f64,
    /// Maximum number of additional retries of all instances together.
    pub repeat_extra: f64,
    /// Length of the window in which requests and retries are counted.
    pub repeat_window: Span,
    /// Interval between announcements of an upstream.
    pub announce_period: Span,
    /// Maximum load of an upstream, as a multiple of the mean load.
    pub load_bound: f64,
    /// Multiple of the rate that a cold upstream sustains which may arrive there in a second, before
    /// `cold_slack` is added. Without both, cold upstreams are treated like others.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cold_excess: Option<f64>,
    /// Number of requests by which the arrivals at a cold upstream in a second may exceed that.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cold_slack: Option<f64>,
    /// Whether client accounts that send more than others get no more than an equal share of upstreams
    /// that are full, and of the queues for upstreams.
    pub fair_shares: bool,
    /// Maximum bytes of requests, bodies and heads, that this instance has in flight at one upstream.
    /// A single request above it is sent while the upstream has no other one.
    pub upstream_bytes: Size,
    /// Services with engines for which requests are placed by the cost of their prompts.
    pub prompt_costs: PromptCosts,
    /// Bandwidth of the link of this instance, in megabits per second. Documents use a share of it.
    pub link_megabits: f64,
    /// Time after the start of an instance within which requests wait until the instance can serve
    /// them. With 0, they are refused at once.
    pub startup_wait: Span,
}

/// Default bandwidth of the link, in megabits per second: the slowest link that control instances
/// are designed for.
const DEFAULT_LINK_MEGABITS_PER_SECOND: f64 = 3.0;

impl Default for Direct {
    fn default() -> Self {
        Self {
            repeat_ratio: 0.2,
            repeat_extra: 50.0,
            repeat_window: Span::from_seconds(10),
            announce_period: Span::from_seconds(1),
            load_bound: 2.0,
            cold_excess: None,
            cold_slack: None,
            fair_shares: false,
            upstream_bytes: Size::from_kibibytes(64 << 10),
            prompt_costs: PromptCosts::default(),
            link_megabits: DEFAULT_LINK_MEGABITS_PER_SECOND,
            startup_wait: Span::from_millis(0),
        }
    }
}
