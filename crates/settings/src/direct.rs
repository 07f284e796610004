//! Settings of entry instances that choose upstreams by themselves.

use serde::{Deserialize, Serialize};
use units::Span;

/// How entry instances without owners of upstreams work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Direct {
    /// Attempts beyond the first, for each request of a service.
    pub repeat_ratio: f64,
    /// Attempts beyond those, of all instances together.
    pub repeat_extra: f64,
    /// The span of time in which both are counted.
    pub repeat_window: Span,
    /// How often an upstream announces itself.
    pub announce_period: Span,
    /// Load that an upstream may carry at most, as a multiple of the mean.
    pub load_bound: f64,
    /// Megabits a second that this instance's link carries, of which documents take a share.
    pub link_megabits: f64,
}

/// The narrowest link that control instances are planned for, in megabits a second.
const NARROW_LINK_MEGABITS: f64 = 3.0;

impl Default for Direct {
    fn default() -> Self {
        Self {
            repeat_ratio: 0.2,
            repeat_extra: 50.0,
            repeat_window: Span::from_seconds(10),
            announce_period: Span::from_seconds(1),
            load_bound: 2.0,
            link_megabits: NARROW_LINK_MEGABITS,
        }
    }
}
