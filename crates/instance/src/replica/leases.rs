//! The operators' view of leases, and the way to release one whose holder is gone.

use names::Instance;
use operator::Response;
use state::{LeaseCommand, LeaseOutcome, Proposed};

/// What an operator's request about leases asks for.
pub(super) enum Asked {
    /// A command to propose.
    Propose(Vec<u8>),
    /// An answer at once.
    Answer(Response),
}

/// Reads a lease command in JSON.
pub(super) fn read(body: &[u8]) -> Asked {
    match serde_json::from_slice::<LeaseCommand>(body) {
        Ok(command) => Asked::Propose(postcard::to_allocvec(&command).unwrap_or_default()),
        Err(error) => {
            let message = format!("the body is no lease command: {error}");
            Asked::Answer(Response::error(400, "malformed_request", message))
        }
    }
}

/// The response to a proposed lease command.
pub(super) fn respond(me: &Instance, proposed: Option<Proposed>) -> Response {
    match proposed {
        Some(Proposed::Applied { outcome, .. }) => {
            match postcard::from_bytes::<LeaseOutcome>(&outcome) {
                Ok(outcome) => Response::json(200, &outcome),
                Err(error) => Response::error(500, "malformed_outcome", error.to_string()),
            }
        }
        Some(Proposed::NotRun) => {
            let message = format!("instance \"{me}\" reaches no leader; ask again in a second");
            Response::error(503, "not_run", message)
        }
        Some(Proposed::Unknown) | None => {
            let message = "the leader did not answer; the command may have run";
            Response::error(504, "may_have_run", message)
        }
    }
}
