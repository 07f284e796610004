//! Problems that the instance returns to callers.

use std::time::Duration;

use entry::{Problem, Status, Unsent};
use ledger::Refusal;

/// Retry delay for problems that other instances or upstreams may resolve shortly.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Returns the problem for a service of which no upstream is available.
pub(crate) fn no_upstream(unsent: Option<&Unsent>, service: &names::Service) -> Problem {
    let message = format!("no upstream of service \"{service}\" is available; ask again later");
    Problem::with_evidence(unsent, Status::UNAVAILABLE, "no_upstream", message)
        .with_retry_after(RETRY_DELAY)
}

/// Returns the problem for a service whose upstreams are all at their limit.
pub(crate) fn overloaded(unsent: Option<&Unsent>, service: &names::Service) -> Problem {
    busy(unsent, service, RETRY_DELAY)
}

/// Returns the problem for a service whose upstreams can accept no request before `retry_after`.
pub(crate) fn busy(
    unsent: Option<&Unsent>,
    service: &names::Service,
    retry_after: Duration,
) -> Problem {
    let message = format!("all upstreams of service \"{service}\" are busy; ask again later");
    Problem::with_evidence(unsent, Status::TOO_MANY_REQUESTS, "overloaded", message)
        .with_retry_after(retry_after)
}

/// Returns the problem for a client account that has used up this instance's share of its limit.
pub(crate) fn over_limit(
    unsent: Option<&Unsent>,
    account: &names::ClientAccount,
    retry_after: Duration,
) -> Problem {
    let message = format!("client account \"{account}\" is over its limit; ask again later");
    Problem::with_evidence(unsent, Status::TOO_MANY_REQUESTS, "over_limit", message)
        .with_retry_after(retry_after)
}

/// Returns the problem for a request with a key under which upstreams crashed, and which is not
/// tried again within `retry_after`.
pub(crate) fn quarantined(unsent: Option<&Unsent>, retry_after: Duration) -> Problem {
    let message =
        "upstreams crashed under this request or a message of it; send it without that message";
    Problem::with_evidence(unsent, Status::UNAVAILABLE, "quarantined", message)
        .with_retry_after(retry_after)
}

/// Returns the problem for a request under which upstreams crashed that are away until
/// `retry_after` has passed.
pub(crate) fn suspected(unsent: &Unsent, retry_after: Duration) -> Problem {
    let message = "upstreams crashed while they ran this request; ask again later";
    Problem::not_run(unsent, Status::UNAVAILABLE, "suspected", message)
        .with_retry_after(retry_after)
}

/// Returns the problem for a request that ran at an upstream that crashed, and is not sent again.
pub(crate) fn crashed() -> Problem {
    let message = "upstreams crashed while they ran this request, which may have run";
    Problem::may_have_run(Status::BAD_GATEWAY, "upstream_failed", message)
}

/// Returns the problem for a request that arrives during a graceful shutdown.
pub(crate) fn stopping(unsent: Option<&Unsent>) -> Problem {
    let message = "the instance is stopping; ask again at another one";
    Problem::with_evidence(unsent, Status::UNAVAILABLE, "stopping", message)
        .with_retry_after(RETRY_DELAY)
}

/// Returns the problem for a request that is at an upstream when the graceful shutdown ends.
pub(crate) fn stopped() -> Problem {
    let message = "the instance stopped before the upstream had answered; the request may have run";
    Problem::may_have_run(Status::BAD_GATEWAY, "stopping", message)
}

/// Returns the problem for a request that the ledger refuses.
pub(crate) fn of_refusal(unsent: Option<&Unsent>, refusal: Refusal) -> Problem {
    match refusal {
        Refusal::NoQuorum => no_quorum(unsent),
        Refusal::Full { retry_after: delay } => ledger_full(unsent, delay),
        Refusal::Conflict => {
            let message = "the idempotency key was used for another request; this one did not \
                           run, use a new key for it";
            Problem::with_evidence(unsent, Status::CONFLICT, "idempotency_conflict", message)
        }
        Refusal::Unknown => {
            let message = "an earlier request with this idempotency key may have run; find out \
                           at the service before using a new key";
            Problem::may_have_run(Status::CONFLICT, "outcome_unknown", message)
        }
        Refusal::StillRunning => {
            let message = "an earlier request with this idempotency key is still running; ask \
                           again with the same key";
            Problem::may_have_run(Status::GATEWAY_TIMEOUT, "still_running", message)
                .with_retry_after(RETRY_DELAY)
        }
        Refusal::Withdrawn => {
            let message = "the request was withdrawn before it ran; ask again";
            Problem::with_evidence(unsent, Status::UNAVAILABLE, "withdrawn", message)
                .with_retry_after(RETRY_DELAY)
        }
    }
}

fn no_quorum(unsent: Option<&Unsent>) -> Problem {
    let message = match unsent {
        Some(_) => {
            "the ledger of idempotency keys cannot be reached; this request did not run, ask \
             again later with the same key"
        }
        None => {
            "the ledger of idempotency keys cannot be reached, so an earlier request with this \
             key may have run; ask again later with the same key"
        }
    };
    Problem::with_evidence(unsent, Status::UNAVAILABLE, "no_quorum", message)
        .with_retry_after(RETRY_DELAY)
}

fn ledger_full(unsent: Option<&Unsent>, delay: Duration) -> Problem {
    let message = "the account has as many idempotency keys in use as it may; this request did \
                   not run, ask again later";
    Problem::with_evidence(unsent, Status::TOO_MANY_REQUESTS, "ledger_full", message)
        .with_retry_after(delay)
}

/// Returns the problem for a resend whose original response was too large to store.
pub(crate) fn answer_not_kept(status: u16) -> Problem {
    let message = format!(
        "an earlier request with this idempotency key was answered with status {status}; it is \
         not run again, and its answer is no longer kept"
    );
    Problem::may_have_run(Status::CONFLICT, "answer_not_kept", message)
}

/// Refusal of a request because the process has no memory for its parsed form at present.
pub(crate) fn no_memory(unsent: &Unsent) -> Problem {
    let message = "too many requests are arriving at once; ask again later";
    Problem::not_run(unsent, Status::UNAVAILABLE, "memory", message)
        .with_retry_after(Duration::from_secs(1))
}
