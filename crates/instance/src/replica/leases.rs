//! Operator requests that change leases, for example to release a lease whose holder is gone.

use names::Instance;
use operator::Response;
use state::{LeaseCommand, LeaseOutcome, ProposalOutcome};

/// A parsed operator request about leases.
pub(super) enum LeaseRequest {
    /// Propose this encoded command.
    Propose(Vec<u8>),
    /// Send this response without a proposal.
    Respond(Response),
}

/// Parses a lease command in JSON.
pub(super) fn parse(body: &[u8]) -> LeaseRequest {
    match serde_json::from_slice::<LeaseCommand>(body) {
        Ok(command) => LeaseRequest::Propose(postcard::to_allocvec(&command).unwrap_or_default()),
        Err(error) => {
            let message = format!("the body is not a lease command: {error}");
            LeaseRequest::Respond(Response::error(400, "malformed_request", message))
        }
    }
}

/// Returns the response for the outcome of a proposed lease command.
pub(super) fn respond(me: &Instance, proposed: Option<ProposalOutcome>) -> Response {
    match proposed {
        Some(ProposalOutcome::Applied { outcome, .. }) => {
            match postcard::from_bytes::<LeaseOutcome>(&outcome) {
                Ok(outcome) => Response::json(200, &outcome),
                Err(error) => Response::error(500, "malformed_outcome", error.to_string()),
            }
        }
        Some(ProposalOutcome::NotRun) => {
            let message = format!("instance \"{me}\" reaches no leader; ask again in a second");
            Response::error(503, "not_run", message)
        }
        Some(ProposalOutcome::Unknown) | None => {
            let message = "the leader did not answer; the command may have run";
            Response::error(504, "may_have_run", message)
        }
    }
}
