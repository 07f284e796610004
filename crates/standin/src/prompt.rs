//! Requests to stand-in engines.

use serde::Deserialize;

/// Words of an answer when the request does not say.
const DEFAULT_WORDS: usize = 16;

/// One message of a conversation.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Message {
    /// Who speaks.
    pub role: String,
    /// What is said.
    pub content: String,
}

/// The part of a chat-completions request that the stand-in uses.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Prompt {
    /// The model asked for.
    pub model: String,
    /// The conversation so far.
    pub messages: Vec<Message>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Most words of the answer.
    #[serde(default)]
    pub max_tokens: Option<usize>,
}

impl Prompt {
    /// The conversation as one text.
    pub fn text(&self) -> String {
        let lines = self.messages.iter();
        lines.map(|message| format!("{}: {}\n", message.role, message.content)).collect()
    }

    /// Number of words of the answer.
    pub fn words(&self) -> usize {
        self.max_tokens.unwrap_or(DEFAULT_WORDS)
    }
}
