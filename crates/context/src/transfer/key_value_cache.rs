//! Engines that export and import their key-value cache as JSON over HTTP.

use dispatch::{Field, Head};
use names::Attempt;
use serde_json::Value;

use super::{Exported, Flaw, Transfer};

/// Header with the id of the move; the engine has to send it back.
const ATTEMPT_HEADER: &str = "x-attempt-id";

/// `POST /kv/export` and `POST /kv/import`; the context is a JSON object whose `blocks` are empty
/// when nothing is cached.
#[derive(Debug, Clone, Copy, Default)]
pub struct KeyValueCache;

fn check(attempt: Attempt, head: &Head) -> Result<(), Flaw> {
    if head.status != 200 {
        return Err(Flaw::Status { status: head.status });
    }
    if head.header(ATTEMPT_HEADER) != Some(&attempt.to_string()) {
        return Err(Flaw::Crossed);
    }
    Ok(())
}

impl Transfer for KeyValueCache {
    fn export_path(&self) -> &'static str {
        "/kv/export"
    }

    fn import_path(&self) -> &'static str {
        "/kv/import"
    }

    fn headers(&self, attempt: Attempt) -> Vec<Field> {
        let field = |name: &str, value: String| Field { name: name.to_string(), value };
        vec![
            field("content-type", "application/json".to_string()),
            field(ATTEMPT_HEADER, attempt.to_string()),
        ]
    }

    fn exported(&self, attempt: Attempt, head: &Head, body: Vec<u8>) -> Result<Exported, Flaw> {
        check(attempt, head)?;
        let context: Value = serde_json::from_slice(&body)
            .map_err(|error| Flaw::Truncated { reason: error.to_string() })?;
        match context["blocks"].as_array() {
            None => Err(Flaw::Truncated { reason: "it has no blocks".to_string() }),
            Some(blocks) if blocks.is_empty() => Ok(Exported::Nothing),
            Some(_) => Ok(Exported::Context(body)),
        }
    }

    fn imported(&self, attempt: Attempt, head: &Head) -> Result<(), Flaw> {
        check(attempt, head)
    }
}
