//! Adapter for model engines with the chat-completions API.

use names::Attempt;
use serde::de::IgnoredAny;

use super::{ATTEMPT_HEADER, Adapter, Head, HeadOutcome, RESUME_HEADER, header_field};
use crate::{Field, Verdict};

/// Adapter for engines that resume a stream after a number of content events and that cancel a
/// request when its connection is closed.
#[derive(Debug, Clone, Copy, Default)]
pub struct ChatCompletions;

impl Adapter for ChatCompletions {
    fn headers(&self, attempt: Attempt, offset: u64) -> Vec<Field> {
        let mut headers = vec![header_field(ATTEMPT_HEADER, attempt.to_string())];
        if offset > 0 {
            headers.push(header_field(RESUME_HEADER, offset.to_string()));
        }
        headers
    }

    fn check_head(&self, attempt: Attempt, offset: u64, head: &Head) -> HeadOutcome {
        if !head.matches_attempt(attempt) {
            return HeadOutcome::WrongAttempt;
        }
        match head.status {
            408 | 429 | 500..=599 if head.reports_not_run() => HeadOutcome::Failed(Verdict::NotRun),
            408 | 429 | 500..=599 => HeadOutcome::Failed(Verdict::MayHaveRun),
            200 if offset > 0 && head.header(RESUME_HEADER) != Some(&offset.to_string()) => {
                HeadOutcome::NotResumed
            }
            _ => HeadOutcome::Accepted,
        }
    }

    fn is_complete(&self, head: &Head, body: &[u8]) -> bool {
        let is_proven = head.status != 200 && head.has_delimited_body();
        is_proven || serde_json::from_slice::<IgnoredAny>(body).is_ok()
    }

    fn can_resume(&self) -> bool {
        true
    }
}
