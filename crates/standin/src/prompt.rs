//! Chat-completions requests to stand-in engines.

use serde::Deserialize;

/// Number of words in a response if the request sets no limit.
const DEFAULT_WORDS: usize = 16;

/// Message of a conversation.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Message {
    /// Role of the speaker, such as `user` or `assistant`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// Fields of a chat-completions request that the stand-in uses.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Prompt {
    /// Name of the requested model.
    pub model: String,
    /// Messages of the conversation so far.
    pub messages: Vec<Message>,
    /// Whether the response is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Number of words in the response.
    #[serde(default)]
    pub max_tokens: Option<usize>,
}

impl Prompt {
    /// Returns the conversation as one text, with one line per message.
    pub fn text(&self) -> String {
        let lines = self.messages.iter();
        lines.map(|message| format!("{}: {}\n", message.role, message.content)).collect()
    }

    /// Returns the number of words in the response.
    pub fn words(&self) -> usize {
        self.max_tokens.unwrap_or(DEFAULT_WORDS)
    }
}
