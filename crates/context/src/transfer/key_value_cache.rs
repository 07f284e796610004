//! Transfer protocol of engines that export and import their key-value cache as JSON over HTTP.

use dispatch::{Field, Head};
use names::Attempt;
use serde_json::Value;

use super::{ExportedContext, Transfer, TransferError};

/// Header with the id of the move, which the engine has to echo.
const ATTEMPT_HEADER: &str = "x-attempt-id";

/// Transfer by `POST /kv/export` and `POST /kv/import`. The context is a JSON object with the array
/// `blocks`, which is empty when nothing is cached.
#[derive(Debug, Clone, Copy, Default)]
pub struct KeyValueCache;

fn check_head(attempt: Attempt, head: &Head) -> Result<(), TransferError> {
    if head.status != 200 {
        return Err(TransferError::Status { status: head.status });
    }
    if head.header(ATTEMPT_HEADER) != Some(&attempt.to_string()) {
        return Err(TransferError::WrongMove);
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

    fn check_export(
        &self,
        attempt: Attempt,
        head: &Head,
        body: Vec<u8>,
    ) -> Result<ExportedContext, TransferError> {
        check_head(attempt, head)?;
        let context: Value = serde_json::from_slice(&body)
            .map_err(|error| TransferError::Truncated { reason: error.to_string() })?;
        match context["blocks"].as_array() {
            None => Err(TransferError::Truncated {
                reason: "the array `blocks` is missing".to_string(),
            }),
            Some(blocks) if blocks.is_empty() => Ok(ExportedContext::Empty),
            Some(_) => Ok(ExportedContext::Body(body)),
        }
    }

    fn check_import(&self, attempt: Attempt, head: &Head) -> Result<(), TransferError> {
        check_head(attempt, head)
    }
}
