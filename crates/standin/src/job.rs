//! Request at a stand-in engine, and its response.

use entry::{Header, Reply};
use serde_json::{Value, json};
use stakker::Fwd;

use crate::prefix::BLOCK_BYTES;
use crate::replies::{json_reply_with, server_sent_event, stream_start};
use crate::{Fault, Prompt, word};

/// Number of bytes of a prompt that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Event that ends a stream.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// Whether a response goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sending {
    Continues,
    /// The connection was closed within the response.
    BrokenOff,
}

/// Request that runs or waits for a slot.
pub(crate) struct Job {
    pub(crate) id: names::Request,
    pub(crate) prompt: Prompt,
    pub(crate) prompt_text: String,
    pub(crate) priority: u32,
    pub(crate) next_word: usize,
    /// Number of words produced for this request, regardless of its resume offset.
    pub(crate) produced_words: usize,
    /// Number of prompt blocks found in the cache.
    pub(crate) cached_blocks: usize,
    pub(crate) is_stream_started: bool,
    /// Number of bytes of the body that were sent.
    pub(crate) sent_bytes: usize,
    pub(crate) has_paused: bool,
    /// Headers that tell the caller to which attempt the response belongs and at which word it
    /// starts.
    pub(crate) echoed_headers: Vec<Header>,
    pub(crate) fault: Fault,
    pub(crate) reply: Fwd<Reply>,
}

impl Job {
    /// Returns whether the engine crashes as it begins the answer.
    pub(crate) fn crashes(&self) -> bool {
        let messages = &self.prompt.messages;
        let shared_count = messages.len().saturating_sub(1);
        let messages = match self.fault {
            Fault::CrashLast(_) => &messages[shared_count..],
            _ => &messages[..shared_count],
        };
        self.produced_words == 0
            && messages.iter().any(|message| self.fault.is_crash(&message.content))
    }

    /// Sends the next word of a streamed response, preceded by the head of the stream for the
    /// first. At the end of the words, sends nothing else.
    pub(crate) fn send_word(&mut self, words: usize) -> Sending {
        if !self.is_stream_started {
            self.is_stream_started = true;
            let is_framed = !self.fault.is_unframed();
            self.reply.fwd(stream_start(&self.echoed_headers, is_framed));
        }
        match self.next_word < words {
            true => self.send_body(self.word_event()),
            false => Sending::Continues,
        }
    }

    /// Sends the end of a streamed response, or the complete response if it is not streamed.
    pub(crate) fn send_end(&mut self, words: usize) -> Sending {
        if self.prompt.stream {
            let events = [server_sent_event(&self.chunk(json!({}), json!("stop"))), DONE.to_vec()];
            let sending = self.send_body(events.concat());
            if sending == Sending::Continues {
                self.reply.fwd(Reply::End);
            }
            return sending;
        }
        let completion = json_reply_with(&self.completion(words), self.echoed_headers.clone());
        match completion {
            Reply::Whole { status, headers, body } if self.fault.is_unframed() => {
                self.reply.fwd(Reply::StartUnframed { status, headers });
                let sending = self.send_body(body);
                if sending == Sending::Continues {
                    self.reply.fwd(Reply::End);
                }
                sending
            }
            completion => {
                self.reply.fwd(completion);
                Sending::Continues
            }
        }
    }

    /// Sends the next bytes of the body, up to the place at which the fault breaks it off.
    fn send_body(&mut self, mut bytes: Vec<u8>) -> Sending {
        let left = match self.fault {
            Fault::UnframedCut(limit) => limit.saturating_sub(self.sent_bytes),
            _ => usize::MAX,
        };
        let is_broken_off = bytes.len() > left;
        bytes.truncate(left);
        self.sent_bytes += bytes.len();
        self.reply.fwd(Reply::Part(bytes));
        if !is_broken_off {
            return Sending::Continues;
        }
        self.reply.fwd(Reply::Cut);
        Sending::BrokenOff
    }

    fn word_event(&self) -> Vec<u8> {
        let content = word(&self.prompt_text, self.next_word);
        let delta = json!({ "role": "assistant", "content": content });
        server_sent_event(&self.chunk(delta, Value::Null))
    }

    fn chunk(&self, delta: Value, finish_reason: Value) -> Value {
        json!({
            "id": format!("chatcmpl-{}", self.id),
            "object": "chat.completion.chunk",
            "created": 0,
            "model": self.prompt.model,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": finish_reason }],
        })
    }

    fn completion(&self, words: usize) -> Value {
        let content = crate::answer(&self.prompt_text, words);
        json!({
            "id": format!("chatcmpl-{}", self.id),
            "object": "chat.completion",
            "created": 0,
            "model": self.prompt.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": content },
                "finish_reason": "stop",
            }],
            "usage": {
                "prompt_tokens": self.prompt_text.len() / BYTES_PER_TOKEN,
                "prompt_tokens_details": {
                    "cached_tokens": self.cached_blocks * BLOCK_BYTES / BYTES_PER_TOKEN,
                },
                "completion_tokens": words,
                "total_tokens": self.prompt_text.len() / BYTES_PER_TOKEN + words,
            },
        })
    }
}
