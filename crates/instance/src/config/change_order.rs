//! Orders that change declarations: parsing, and responses for their outcomes.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use declare::{
    Apply, Command, Declarations, Document, Moment, Order, Origin, Outcome, Revision, Rollback,
    View,
};
use names::Operator;
use operator::{Request, Response};
use serde_json::{Value, json};
use state::ProposalOutcome;

/// Maximum size of a command, in bytes, so that it fits into a frame between instances.
const MAX_COMMAND_BYTES: usize = 1800 << 10;

/// Retry delay after failures that may be resolved shortly.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Kind of change that an order requests.
pub(crate) enum ChangeKind {
    /// Replace the declarations with new content.
    Apply(Box<Document>),
    /// Restore the content of an earlier revision.
    RollBack(Revision),
}

/// A validated order to change the declarations.
pub(crate) struct ChangeOrder {
    origin: Origin,
    kind: ChangeKind,
    /// Revision that the order is based on.
    pub(crate) base: Revision,
}

fn now() -> Moment {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Moment(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}

fn parameter<T>(request: &Request, name: &str) -> Result<T, Response>
where
    T: std::str::FromStr<Err = declare::Error>,
{
    let text = request.query_parameter(name).ok_or_else(|| {
        let message = format!("the request needs the query parameter {name}");
        Response::error(400, "missing_parameter", message)
    })?;
    text.parse().map_err(|error: declare::Error| {
        Response::error(400, "invalid_parameter", format!("{name}: {error}"))
    })
}

/// Returns the revision that a proposed order created, if the order was accepted.
pub(crate) fn accepted_revision(proposed: Option<&ProposalOutcome>) -> Option<Revision> {
    let Some(ProposalOutcome::Applied { outcome, .. }) = proposed else {
        return None;
    };
    match wire::decode("outcome", outcome) {
        Ok(Outcome::Accepted { revision }) => Some(revision),
        _ => None,
    }
}

/// Parses the declarations in the body of a request.
pub(crate) fn read_document(request: &Request) -> Result<Document, Response> {
    let invalid = |problem: String| Response::error(400, "invalid_declarations", problem);
    let text = String::from_utf8(request.body.clone())
        .map_err(|error| invalid(format!("the body is not UTF-8 text: {error}")))?;
    let declarations = Declarations::try_from(text).map_err(|error| invalid(error.to_string()))?;
    Document::try_from(&declarations).map_err(|error| invalid(error.to_string()))
}

impl ChangeOrder {
    /// Parses an order that replaces the declarations with `document`.
    pub(crate) fn apply(
        request: &Request,
        operator: Operator,
        document: Document,
    ) -> Result<Self, Response> {
        Self::new(request, operator, ChangeKind::Apply(Box::new(document)))
    }

    /// Parses an order to roll back to an earlier revision.
    pub(crate) fn roll_back(request: &Request, operator: Operator) -> Result<Self, Response> {
        let kind = ChangeKind::RollBack(parameter(request, "to")?);
        Self::new(request, operator, kind)
    }

    fn new(request: &Request, operator: Operator, kind: ChangeKind) -> Result<Self, Response> {
        let order: Order = parameter(request, "order")?;
        let base = parameter(request, "base")?;
        Ok(Self { origin: Origin { order, operator, at: now() }, kind, base })
    }

    /// Returns the encoded command to propose, with the changes relative to the revision in `view`.
    ///
    /// The changes are left out if `view` does not hold the base revision of the order.
    pub(crate) fn command(&self, view: &View) -> Result<Vec<u8>, Response> {
        let origin = self.origin.clone();
        let command = match &self.kind {
            ChangeKind::Apply(document) => {
                let has_base = view.revision() == self.base;
                let changes = has_base.then(|| view.document().changes_to(document));
                Command::Apply(Apply { origin, base: self.base, mark: document.mark(), changes })
            }
            ChangeKind::RollBack(to) => {
                Command::Rollback(Rollback { origin, base: self.base, to: *to })
            }
        };
        let bytes = wire::encode(&command)
            .map_err(|error| Response::error(500, "encoding", error.to_string()))?;
        if bytes.len() > MAX_COMMAND_BYTES {
            let message = format!(
                "the changes have {} bytes; help: split them into revisions of less than \
                 {MAX_COMMAND_BYTES}",
                bytes.len()
            );
            return Err(Response::error(413, "too_many_changes", message));
        }
        Ok(bytes)
    }

    /// Returns the response to the operator for the outcome of the proposal.
    pub(crate) fn response(&self, proposed: Option<ProposalOutcome>) -> Response {
        match proposed {
            Some(ProposalOutcome::Applied { outcome, .. }) => {
                match wire::decode("outcome", &outcome) {
                    Ok(outcome) => self.outcome_response(outcome),
                    Err(error) => Response::error(500, "outcome", error.to_string()),
                }
            }
            Some(ProposalOutcome::NotRun) => self.problem(
                503,
                "no_quorum",
                "the fleet has no leader within reach; nothing changed, resend the order later",
                json!({ "verdict": "not-run", "retry_after_ms": RETRY_DELAY.as_millis() as u64 }),
            ),
            Some(ProposalOutcome::Unknown) | None => self.problem(
                504,
                "unknown_outcome",
                "the order may or may not be committed; resend it with the same order id",
                json!({
                    "verdict": "may-have-run",
                    "retry_after_ms": RETRY_DELAY.as_millis() as u64,
                }),
            ),
        }
    }

    fn outcome_response(&self, outcome: Outcome) -> Response {
        match outcome {
            Outcome::Accepted { revision } | Outcome::Current { revision } => {
                Response::json(200, &json!({ "revision": revision, "order": self.origin.order }))
            }
            Outcome::Conflict { current, winner } => {
                let reason = match &winner {
                    Some(winner) => format!(
                        "revision {} was made on revision {} by operator \"{}\" with order \"{}\"",
                        winner.revision, self.base, winner.origin.operator, winner.origin.order
                    ),
                    None => format!("revision {} is not the newest", self.base),
                };
                let message = format!(
                    "{reason}; the newest is {current}; help: get it, merge, and apply with --base \
                     {current}"
                );
                let winner = winner.map(|winner| {
                    json!({
                        "revision": winner.revision,
                        "operator": winner.origin.operator,
                        "order": winner.origin.order,
                        "at": winner.origin.at.to_string(),
                    })
                });
                self.problem(
                    409,
                    "conflict",
                    &message,
                    json!({ "current": current, "winner": winner }),
                )
            }
            Outcome::Reused => {
                let message = format!(
                    "order id \"{}\" was used for other content; help: use a new one",
                    self.origin.order
                );
                self.problem(409, "order_reused", &message, json!({}))
            }
            Outcome::Missing { oldest, current } => {
                let message = format!(
                    "the requested revision is no longer kept; help: choose {oldest} to {current}"
                );
                self.problem(404, "unknown_revision", &message, json!({ "current": current }))
            }
            Outcome::Behind { current } => {
                let message = format!(
                    "this instance does not have revision {current} yet; nothing changed, resend \
                     the order"
                );
                self.problem(
                    503,
                    "behind",
                    &message,
                    json!({
                        "verdict": "not-run",
                        "retry_after_ms": RETRY_DELAY.as_millis() as u64,
                    }),
                )
            }
            Outcome::Malformed => {
                let message = "the changes do not fit the base revision; nothing changed; help: \
                               run the same version at all instances";
                self.problem(500, "malformed", message, json!({ "verdict": "not-run" }))
            }
        }
    }

    fn problem(&self, status: u16, code: &str, message: &str, details: Value) -> Response {
        let order = &self.origin.order;
        let error = json!({ "code": code, "message": message, "order": order, "more": details });
        Response::json(status, &json!({ "error": error }))
    }
}
