//! One streamed answer, put together from the streams of one or more attempts.

use serde_json::Value;

use crate::events::{Event, Splitter};

/// Why a stream cannot be used any further.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Flaw {
    /// An event is larger than allowed.
    #[error("an event of the stream is larger than {limit} bytes")]
    Large {
        /// Most bytes of an event.
        limit: usize,
    },
    /// An event is not JSON.
    #[error("an event of the stream is not JSON: {reason}")]
    Malformed {
        /// What the parser says.
        reason: String,
    },
    /// The engine reports an error.
    #[error("the engine reports: {message}")]
    Reported {
        /// Its message.
        message: String,
    },
    /// An event carries another answer's id.
    #[error("an event carries the id of another answer")]
    Crossed,
}

/// Follows a stream of chat-completions chunks.
///
/// Whole events alone are passed on. After [`Transcript::resume`] the events of the next attempt
/// get the ids of the first one, so that the caller sees one stream with one end.
#[derive(Debug, Default)]
pub struct Transcript {
    splitter: Splitter,
    /// `id` and `created` of the first attempt, which the caller sees.
    identity: Option<(Value, Value)>,
    /// `id` of the current attempt.
    current: Option<Value>,
    is_resumed: bool,
    delivered: u64,
    has_finished: bool,
    is_whole: bool,
}

/// Whether any choice of `chunk` has text or a tool call.
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

impl Transcript {
    /// Content events that were passed on.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Whether the event that ends the stream was passed on.
    pub fn is_whole(&self) -> bool {
        self.is_whole
    }

    /// Gets ready for the stream of another attempt that goes on after the delivered events.
    pub fn resume(&mut self) {
        self.splitter = Splitter::default();
        self.current = None;
        self.is_resumed = true;
    }

    /// Takes the next bytes of the current attempt and gives those to pass on.
    ///
    /// # Errors
    ///
    /// [`Flaw`] when the attempt cannot be trusted any further; what was given before stands.
    pub fn take(&mut self, part: &[u8], out: &mut Vec<u8>) -> Result<(), Flaw> {
        self.splitter.push(part);
        while let Some(event) = self.splitter.next_event()? {
            if !self.is_whole {
                self.take_event(&event, out)?;
            }
        }
        Ok(())
    }

    fn take_event(&mut self, event: &Event, out: &mut Vec<u8>) -> Result<(), Flaw> {
        match event.data.as_str() {
            "" => {
                out.extend_from_slice(&event.raw);
                Ok(())
            }
            "[DONE]" => {
                self.is_whole = true;
                out.extend_from_slice(&event.raw);
                Ok(())
            }
            data => {
                let chunk = serde_json::from_str(data)
                    .map_err(|error| Flaw::Malformed { reason: error.to_string() })?;
                self.take_chunk(chunk, event, out)
            }
        }
    }

    fn take_chunk(
        &mut self,
        mut chunk: Value,
        event: &Event,
        out: &mut Vec<u8>,
    ) -> Result<(), Flaw> {
        if !chunk.is_object() {
            return Err(Flaw::Malformed { reason: "it is not an object".to_string() });
        }
        if !chunk["error"].is_null() {
            let message = chunk["error"]["message"].as_str().unwrap_or("an error").to_string();
            return Err(Flaw::Reported { message });
        }
        self.check_id(&chunk)?;
        let (has_content, has_finish) = (has_content(&chunk), has_finish(&chunk));
        let is_repeated = (has_finish && self.has_finished)
            || (self.is_resumed && !has_content && !has_finish && chunk["usage"].is_null());
        if is_repeated {
            return Ok(());
        }
        self.delivered += u64::from(has_content);
        self.has_finished |= has_finish;
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

    /// Checks that all chunks of one attempt carry the same id.
    fn check_id(&mut self, chunk: &Value) -> Result<(), Flaw> {
        match &self.current {
            None => {
                self.current = Some(chunk["id"].clone());
                Ok(())
            }
            Some(id) if *id == chunk["id"] => Ok(()),
            Some(_) => Err(Flaw::Crossed),
        }
    }
}
