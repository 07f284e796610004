//! Joins the chat-completions streams of one or more attempts into one stream.

use serde_json::Value;

use crate::events::{Event, EventSplitter};

/// Error in the stream of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// An event exceeds the size limit.
    #[error("an event of the stream is larger than {limit} bytes")]
    EventTooLarge {
        /// Largest size of an event in bytes.
        limit: usize,
    },
    /// The data of an event is not a JSON object.
    #[error("an event of the stream is not JSON: {reason}")]
    Malformed {
        /// Message of the JSON parser.
        reason: String,
    },
    /// The engine sent an error event.
    #[error("the engine reports: {message}")]
    EngineError {
        /// Error message of the engine.
        message: String,
    },
    /// An event carries the id of another response.
    #[error("an event carries the id of another answer")]
    IdMismatch,
    /// The stream ends within an event.
    #[error("the stream ended within an event")]
    Incomplete,
    /// The response does not resume the stream.
    #[error("the upstream did not resume the stream: {reason}")]
    NotResumed {
        /// What the upstream sent instead.
        reason: String,
    },
}

/// Filters a stream of chat-completions chunks.
///
/// Only complete events are passed on. After [`StreamJoiner::resume`], the events of the next
/// attempt get the `id` and `created` values of the first attempt, so that the caller sees a single
/// stream with a single end.
#[derive(Debug, Default)]
pub struct StreamJoiner {
    splitter: EventSplitter,
    /// `id` and `created` values of the first attempt, which all passed-on events carry.
    identity: Option<(Value, Value)>,
    /// `id` value of the current attempt.
    attempt_id: Option<Value>,
    is_resumed: bool,
    delivered: u64,
    has_finish_reason: bool,
    is_complete: bool,
}

/// Returns whether any choice of `chunk` has text or a tool call.
fn has_content(chunk: &Value) -> bool {
    let is_filled = |part: &Value| match part {
        Value::String(text) => !text.is_empty(),
        Value::Array(calls) => !calls.is_empty(),
        _ => false,
    };
    choices(chunk).any(|choice| {
        let delta = &choice["delta"];
        is_filled(&delta["content"]) || is_filled(&delta["tool_calls"])
    })
}

fn has_finish(chunk: &Value) -> bool {
    choices(chunk).any(|choice| !choice["finish_reason"].is_null())
}

fn choices(chunk: &Value) -> impl Iterator<Item = &Value> {
    chunk["choices"].as_array().into_iter().flatten()
}

impl StreamJoiner {
    /// Returns the number of content events that were passed on.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Returns whether the event that ends the stream was passed on.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Prepares for the stream of another attempt that continues after the delivered events.
    pub fn resume(&mut self) {
        self.splitter = EventSplitter::default();
        self.attempt_id = None;
        self.is_resumed = true;
    }

    /// Processes the next bytes of the current attempt and appends the events to pass on to `out`.
    ///
    /// # Errors
    ///
    /// Returns [`StreamError`] if the rest of the attempt's stream cannot be used. The events that
    /// were appended to `out` before the error remain valid.
    pub fn push(&mut self, part: &[u8], out: &mut Vec<u8>) -> Result<(), StreamError> {
        self.splitter.push(part);
        while let Some(event) = self.splitter.next_event()? {
            if !self.is_complete {
                self.process_event(&event, out)?;
            }
        }
        Ok(())
    }

    fn process_event(&mut self, event: &Event, out: &mut Vec<u8>) -> Result<(), StreamError> {
        match event.data.as_str() {
            "" if !event.is_ignored() => {
                let reason = "a line is not a field of an event".to_string();
                Err(StreamError::Malformed { reason })
            }
            "" => {
                out.extend_from_slice(&event.raw);
                Ok(())
            }
            "[DONE]" if self.is_resumed && !self.has_finish_reason => {
                let reason = "it ended the stream without a finish reason".to_string();
                Err(StreamError::NotResumed { reason })
            }
            "[DONE]" => {
                self.is_complete = true;
                out.extend_from_slice(&event.raw);
                Ok(())
            }
            data => {
                let chunk = serde_json::from_str(data)
                    .map_err(|error| StreamError::Malformed { reason: error.to_string() })?;
                self.process_chunk(chunk, event, out)
            }
        }
    }

    fn process_chunk(
        &mut self,
        mut chunk: Value,
        event: &Event,
        out: &mut Vec<u8>,
    ) -> Result<(), StreamError> {
        if !chunk.is_object() {
            return Err(StreamError::Malformed { reason: "it is not an object".to_string() });
        }
        if !chunk["error"].is_null() {
            let message = chunk["error"]["message"].as_str().unwrap_or("an error").to_string();
            return Err(StreamError::EngineError { message });
        }
        self.check_id(&chunk)?;
        let (has_content, has_finish) = (has_content(&chunk), has_finish(&chunk));
        let is_repeated = (has_finish && self.has_finish_reason)
            || (self.is_resumed && !has_content && !has_finish && chunk["usage"].is_null());
        if is_repeated {
            return Ok(());
        }
        self.delivered += u64::from(has_content);
        self.has_finish_reason |= has_finish;
        match &self.identity {
            Some((id, created)) if self.is_resumed => {
                chunk["id"] = id.clone();
                chunk["created"] = created.clone();
                out.extend_from_slice(format!("data: {chunk}\n\n").as_bytes());
            }
            Some(_) => out.extend_from_slice(&event.raw),
            None => {
                self.identity = Some((chunk["id"].clone(), chunk["created"].clone()));
                out.extend_from_slice(&event.raw);
            }
        }
        Ok(())
    }

    /// Checks that all chunks of an attempt carry the same id.
    fn check_id(&mut self, chunk: &Value) -> Result<(), StreamError> {
        match &self.attempt_id {
            None => {
                self.attempt_id = Some(chunk["id"].clone());
                Ok(())
            }
            Some(id) if *id == chunk["id"] => Ok(()),
            Some(_) => Err(StreamError::IdMismatch),
        }
    }
}
