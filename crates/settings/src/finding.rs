//! Findings in valid settings: values that contradict each other.

use crate::{Limits, Settings, Timing};

/// Part of `limits.memory` that is the memory budget, as `docs/SETTINGS.md` describes. A single
/// request may use less than that, so that what exceeds it never fits.
const MEMORY_BUDGET_DIVISOR: usize = 2;

/// A value of valid settings that cannot have the intended effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Path of the field.
    pub field: &'static str,
    /// What is wrong, and what callers or operators would see.
    pub problem: String,
    /// Suggested correction.
    pub help: &'static str,
}

/// Returns the findings in `settings`, which must be valid.
///
/// Settings with seeds are those of an instance on the platform. There, documents replace the limits
/// of heads and bodies, and `timing.connect` is not used.
pub fn findings(settings: &Settings) -> Vec<Finding> {
    let mut findings = Vec::new();
    if !settings.is_seeded() {
        findings.extend(large_head(settings));
        findings.extend(large_body(settings));
        findings.extend(small_incoming(settings));
        findings.extend(long_connect(settings));
    }
    findings.extend(large_unread(settings));
    findings.extend(low_load_bound(settings));
    findings.extend(half_of_cold_bounds(settings));
    findings
}

/// A limit on heads above the memory budget. A caller that sends such a head gets 503 each time,
/// although the head is within the limit.
fn large_head(settings: &Settings) -> Option<Finding> {
    let limits = &settings.limits;
    exceeds_budget(limits, limits.head.as_bytes()).then(|| Finding {
        field: "limits.head",
        problem: format!(
            "{} is more than half of limits.memory ({}), so that heads of this size never fit",
            limits.head, limits.memory
        ),
        help: "lower it, or raise limits.memory if the machine has more memory",
    })
}

/// A limit on bodies above the memory budget. A caller that sends such a body gets 503 each time,
/// although the body is within the limit.
fn large_body(settings: &Settings) -> Option<Finding> {
    let limits = &settings.limits;
    exceeds_budget(limits, limits.body.as_bytes()).then(|| Finding {
        field: "limits.body",
        problem: format!(
            "{} is more than half of limits.memory ({}), so that bodies of this size never fit",
            limits.body, limits.memory
        ),
        help: "lower it, or raise limits.memory if the machine has more memory",
    })
}

fn exceeds_budget(limits: &Limits, bytes: usize) -> bool {
    bytes > limits.memory.as_bytes() / MEMORY_BUDGET_DIVISOR
}

/// A limit on all incomplete requests below that on a single body. A caller that sends a body between
/// the two gets 503 each time, although the body is within the limit.
fn small_incoming(settings: &Settings) -> Option<Finding> {
    let limits = &settings.limits;
    (limits.incoming < limits.body).then(|| Finding {
        field: "limits.incoming",
        problem: format!(
            "{} is less than limits.body ({}), so that bodies between the two are always refused",
            limits.incoming, limits.body
        ),
        help: "raise it to several times limits.body, or lower limits.body",
    })
}

/// A connection timeout above the time of a graceful shutdown. While the instance shuts down, a
/// request whose upstream does not accept the connection is not retried at another one: its caller
/// gets 503. Without time for a shutdown (0), all requests end at once, which is intended.
fn long_connect(settings: &Settings) -> Option<Finding> {
    let Timing { connect, drain, .. } = settings.timing;
    (drain.as_millis() > 0 && connect > drain).then(|| Finding {
        field: "timing.connect",
        problem: format!(
            "{connect} is more than timing.drain ({drain}), so that a shutdown ends requests that \
             still wait for a connection"
        ),
        help: "lower it, or raise timing.drain",
    })
}

/// A limit on the unread output of one caller above that of all callers together. The answer to a
/// slow caller is cut at the lower limit.
fn large_unread(settings: &Settings) -> Option<Finding> {
    let limits = &settings.limits;
    let unread = limits.unread.filter(|unread| *unread > limits.unread_total)?;
    Some(Finding {
        field: "limits.unread",
        problem: format!(
            "{unread} is more than limits.unread_total ({}), at which answers are cut off",
            limits.unread_total
        ),
        help: "lower it, or raise limits.unread_total",
    })
}

/// A load bound of the mean load or less. At least one upstream always carries the mean or more, so
/// that under load requests are moved away from the engine that holds their context, wait in a queue
/// or are refused although slots are free.
fn low_load_bound(settings: &Settings) -> Option<Finding> {
    let bound = settings.direct.load_bound;
    (bound.is_nan() || bound <= 1.0).then(|| Finding {
        field: "direct.load_bound",
        problem: format!(
            "{bound} is not above 1, so that upstreams with the mean load count as overloaded"
        ),
        help: "set it to a multiple of the mean load above 1, such as 2",
    })
}

/// One of the two bounds of cold upstreams. Without the other one it has no effect: cold upstreams
/// are treated like others, and callers wait for them.
fn half_of_cold_bounds(settings: &Settings) -> Option<Finding> {
    let (field, problem) = match (settings.direct.cold_excess, settings.direct.cold_slack) {
        (Some(_), None) => {
            ("direct.cold_excess", "it has no effect, because direct.cold_slack is not set")
        }
        (None, Some(_)) => {
            ("direct.cold_slack", "it has no effect, because direct.cold_excess is not set")
        }
        (Some(_), Some(_)) | (None, None) => return None,
    };
    Some(Finding {
        field,
        problem: problem.to_string(),
        help: "set both direct.cold_excess and direct.cold_slack, or neither",
    })
}
