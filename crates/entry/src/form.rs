//! Format of the answers that the server generates itself.

use crate::{Problem, Reply};

/// Format of the answers that the server generates itself, as the callers' interface defines it.
pub trait Form {
    /// Returns the answer to a request that was refused or failed.
    fn refusal(&self, problem: Problem) -> Reply;

    /// Returns the name, in lower case, of the header that carries the request id in answers, or
    /// `None` if answers carry no such header.
    fn request_id_header(&self) -> Option<&'static str>;
}

/// Answers with the error object of the chat-completions format.
pub struct ChatForm;

impl Form for ChatForm {
    fn refusal(&self, problem: Problem) -> Reply {
        problem.into_reply()
    }

    fn request_id_header(&self) -> Option<&'static str> {
        Some("x-request-id")
    }
}
