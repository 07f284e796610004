//! What operators read: revisions, history, audit trail, differences.

use declare::{Cause, Change, Declarations, Document, Origin, Revision, Revisions};
use operator::{Request, Response};
use serde_json::{Value, json};

/// Records on a page when the request names no limit.
const DEFAULT_LIMIT: usize = 50;

/// Most records on a page.
const MAX_LIMIT: usize = 500;

/// One revision with its declarations.
pub(crate) fn content(revision: Revision, declarations: &Declarations) -> Response {
    Response::json(200, &json!({ "revision": revision, "declarations": declarations }))
}

/// What `changes` change, in words.
pub(crate) fn words(from: Revision, to: Option<Revision>, changes: &[Change]) -> Response {
    let words: Vec<String> = changes.iter().map(Change::words).collect();
    Response::json(200, &json!({ "from": from, "to": to, "changes": words }))
}

/// Answers a reading request out of all that voters know.
pub(crate) fn read(path: &str, request: &Request, revisions: &Revisions) -> Response {
    let page = match path {
        "/declarations" => old_content(request, revisions),
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
    let limit = request.parameter("limit").and_then(|text| text.parse().ok());
    limit.unwrap_or(DEFAULT_LIMIT).min(MAX_LIMIT)
}

fn revision(request: &Request, name: &str, fallback: Revision) -> Result<Revision, Response> {
    match request.parameter(name) {
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

fn old_content(request: &Request, revisions: &Revisions) -> Result<Response, Response> {
    let wanted = revision(request, "revision", revisions.revision())?;
    let document = document(revisions, wanted)?;
    let declarations = Declarations::try_from(&document)
        .map_err(|error| Response::error(500, "invalid_revision", error.to_string()))?;
    Ok(content(wanted, &declarations))
}

fn difference(request: &Request, revisions: &Revisions) -> Result<Response, Response> {
    let newest = revisions.revision();
    let to = revision(request, "to", newest)?;
    let from = revision(request, "from", Revision(to.0.saturating_sub(1)))?;
    let changes = document(revisions, from)?.changes_to(&document(revisions, to)?);
    Ok(words(from, Some(to), &changes))
}

fn origin(origin: &Origin, cause: Cause) -> Value {
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
    if let (Value::Object(fields), Value::Object(more)) = (&mut left, right) {
        fields.extend(more);
    }
    left
}

fn history(limit: usize, revisions: &Revisions) -> Response {
    let newest_first = revisions.history().entries().rev().take(limit);
    let entries: Vec<Value> = newest_first
        .map(|entry| {
            let numbers = json!({ "revision": entry.revision, "changes": entry.changes.len() });
            merge(numbers, origin(&entry.origin, entry.cause))
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
            let what = json!({
                "revision": record.revision,
                "base": record.base,
                "changes": record.changes,
            });
            merge(what, origin(&record.origin, record.cause))
        })
        .collect();
    Response::json(200, &json!({ "current": revisions.revision(), "audit": records }))
}
