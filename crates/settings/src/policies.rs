//! Which policies an instance decides by.

use placement::LoadBound;
use serde::{Deserialize, Serialize};

/// Requests that wait at one upstream at most, unless the settings say otherwise.
const DEFAULT_MAX_WAITING: usize = 1024;

/// The policies of an instance. All instances of a fleet use the same.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policies {
    /// How an upstream is chosen for a request.
    pub placement: placement::PolicyKind,
    /// Load that an upstream may carry, in percent of the mean; at least 100.
    pub load_bound_percent: LoadBound,
    /// How an upstream's owner decides which requests run.
    pub admission: admission::AdmissionPolicy,
    /// Requests that wait at one upstream at most.
    pub max_waiting: usize,
}

impl Default for Policies {
    fn default() -> Self {
        Self {
            placement: placement::PolicyKind::default(),
            load_bound_percent: LoadBound::default(),
            admission: admission::AdmissionPolicy::default(),
            max_waiting: DEFAULT_MAX_WAITING,
        }
    }
}
