//! Responses to read requests: revisions, history, audit trail and differences.

use declare::{Cause, Change, Declarations, Document, Origin, Revision, Revisions};
use operator::{Request, Response};
use serde_json::{Value, json};

/// Number of records in a response when the request has no limit.
const DEFAULT_RECORD_LIMIT: usize = 50;

/// Maximum number of records in a response.
const MAX_RECORD_LIMIT: usize = 500;

/// Returns the response with one revision and its declarations.
pub(crate) fn content(revision: Revision, declarations: &Declarations) -> Response {
    Response::json(200, &json!({ "revision": revision, "declarations": declarations }))
}

/// Returns the response that describes `changes` in words.
pub(crate) fn change_descriptions(
    from: Revision,
    to: Option<Revision>,
    changes: &[Change],
) -> Response {
    let descriptions: Vec<String> = changes.iter().map(Change::words).collect();
    Response::json(200, &json!({ "from": from, "to": to, "changes": descriptions }))
}

/// Responds to a read request from the revisions that a voter stores.
pub(crate) fn read(path: &str, request: &Request, revisions: &Revisions) -> Response {
    let page = match path {
        "/declarations" => stored_content(request, revisions),
        "/declarations/history" => Ok(history(limit(request), revisions)),
        "/declarations/audit" => Ok(audit(limit(request), revisions)),
        "/declarations/diff" => difference(request, revisions),
        _ => {
            let message = format!("{} {path} does not exist", request.method);
            Err(Response::error(404, "unknown_path", message))
        }
    };
    page.unwrap_or_else(|problem| problem)
}

fn limit(request: &Request) -> usize {
    let limit = request.query_parameter("limit").and_then(|text| text.parse().ok());
    limit.unwrap_or(DEFAULT_RECORD_LIMIT).min(MAX_RECORD_LIMIT)
}

fn revision(request: &Request, name: &str, fallback: Revision) -> Result<Revision, Response> {
    match request.query_parameter(name) {
        None => Ok(fallback),
        Some(text) => text.parse().map_err(|error: declare::Error| {
            Response::error(400, "invalid_parameter", format!("{name}: {error}"))
        }),
    }
}

fn document(revisions: &Revisions, revision: Revision) -> Result<Document, Response> {
    revisions.content(revision).ok_or_else(|| {
        let message = format!(
            "revision {revision} is not kept; help: choose {} to {}",
            revisions.history().oldest(revisions.revision()),
            revisions.revision()
        );
        Response::error(404, "unknown_revision", message)
    })
}

fn stored_content(request: &Request, revisions: &Revisions) -> Result<Response, Response> {
    let requested = revision(request, "revision", revisions.revision())?;
    let document = document(revisions, requested)?;
    let declarations = Declarations::try_from(&document)
        .map_err(|error| Response::error(500, "invalid_revision", error.to_string()))?;
    Ok(content(requested, &declarations))
}

fn difference(request: &Request, revisions: &Revisions) -> Result<Response, Response> {
    let newest = revisions.revision();
    let to = revision(request, "to", newest)?;
    let from = revision(request, "from", Revision(to.0.saturating_sub(1)))?;
    let changes = document(revisions, from)?.changes_to(&document(revisions, to)?);
    Ok(change_descriptions(from, Some(to), &changes))
}

fn origin_json(origin: &Origin, cause: Cause) -> Value {
    let rolled_back_to = match cause {
        Cause::Applied => None,
        Cause::RolledBack { to } => Some(to),
    };
    json!({
        "operator": origin.operator,
        "order": origin.order,
        "at": origin.at.to_string(),
        "rolled_back_to": rolled_back_to,
    })
}

fn merge(mut left: Value, right: Value) -> Value {
    if let (Value::Object(fields), Value::Object(additional)) = (&mut left, right) {
        fields.extend(additional);
    }
    left
}

fn history(limit: usize, revisions: &Revisions) -> Response {
    let newest_first = revisions.history().entries().rev().take(limit);
    let entries: Vec<Value> = newest_first
        .map(|entry| {
            let summary = json!({ "revision": entry.revision, "changes": entry.changes.len() });
            merge(summary, origin_json(&entry.origin, entry.cause))
        })
        .collect();
    let oldest = revisions.history().oldest(revisions.revision());
    let page = json!({ "current": revisions.revision(), "oldest": oldest, "history": entries });
    Response::json(200, &page)
}

fn audit(limit: usize, revisions: &Revisions) -> Response {
    let newest_first = revisions.history().records().rev().take(limit);
    let records: Vec<Value> = newest_first
        .map(|record| {
            let details = json!({
                "revision": record.revision,
                "base": record.base,
                "changes": record.changes,
            });
            merge(details, origin_json(&record.origin, record.cause))
        })
        .collect();
    Response::json(200, &json!({ "current": revisions.revision(), "audit": records }))
}
