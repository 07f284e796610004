//! Refusals that an instance gives.

use std::time::Duration;

use entry::{Problem, Status};

/// When to ask again after something that other instances or upstreams may mend soon.
const SOON: Duration = Duration::from_secs(1);

/// No upstream that could answer is announced.
pub(crate) fn no_upstream(service: &names::Service) -> Problem {
    let message = format!("no upstream of service \"{service}\" is available; ask again later");
    Problem::not_run(Status::UNAVAILABLE, "no_upstream", message).with_retry_after(SOON)
}

/// Every upstream that could answer works on as much as it may.
pub(crate) fn overloaded(service: &names::Service) -> Problem {
    let message = format!("all upstreams of service \"{service}\" are busy; ask again later");
    Problem::not_run(Status::TOO_MANY_REQUESTS, "overloaded", message).with_retry_after(SOON)
}

/// The client account has used up its share of its limit.
pub(crate) fn over_limit(account: &names::ClientAccount, retry_after: Duration) -> Problem {
    let message = format!("client account \"{account}\" is over its limit; ask again later");
    Problem::not_run(Status::TOO_MANY_REQUESTS, "over_limit", message).with_retry_after(retry_after)
}

/// The instance is stopping.
pub(crate) fn stopping() -> Problem {
    let message = "the instance is stopping; ask again at another one";
    Problem::not_run(Status::UNAVAILABLE, "stopping", message).with_retry_after(SOON)
}

/// The ledger cannot take a claim.
pub(crate) fn no_quorum() -> Problem {
    let message = "the ledger of idempotency keys cannot be reached; nothing ran, ask again later";
    Problem::not_run(Status::UNAVAILABLE, "no_quorum", message).with_retry_after(SOON)
}
