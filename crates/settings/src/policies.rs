//! Settings of the placement and admission policies.

use placement::LoadBound;
use serde::{Deserialize, Serialize};

/// Default maximum number of requests that wait for one upstream.
const DEFAULT_MAX_WAITING: usize = 1024;

/// Placement and admission policies of an instance. All instances of a fleet use the same policies.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policies {
    /// Policy that chooses an upstream for a request.
    pub placement: placement::PolicyKind,
    /// Maximum load of an upstream, in percent of the mean load; at least 100.
    pub load_bound_percent: LoadBound,
    /// Policy by which the owner of an upstream decides which requests run.
    pub admission: admission::AdmissionPolicy,
    /// Maximum number of requests that wait for one upstream.
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
