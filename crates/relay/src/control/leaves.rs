//! Answers to the leaves of upstreams.

use entry::{Problem, Status, Unsent};

use super::NOT_DURABLE_RETRY_AFTER;
use crate::feed::Refusal;

/// Returns the answer to a leave that is not acknowledged.
pub(super) fn problem(refusal: Refusal, unsent: &Unsent) -> Problem {
    let problem = match refusal {
        Refusal::NotDurable => {
            let message = "the upstream gets no new requests, but too few control instances have \
                           stored that yet; send the request again, to another control instance";
            Problem::may_have_run(Status::UNAVAILABLE, "not_durable", message)
        }
        Refusal::Full => {
            let message = "too many leaves are kept that arrived before the announcement of their \
                           run, or that name no run; send the request again";
            Problem::not_run(unsent, Status::UNAVAILABLE, "too_many_leaves", message)
        }
    };
    problem.with_retry_after(NOT_DURABLE_RETRY_AFTER)
}
