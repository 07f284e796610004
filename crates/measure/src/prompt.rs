//! Builds chat-completions requests whose turns repeat the earlier messages of the conversation.

use serde_json::{Value, json};

const WORDS: [&str; 8] = ["delta", "flight", "log", "field", "salt", "wind", "height", "camera"];

/// Returns the user message of a turn, at least `min_bytes` long.
///
/// A 64-bit linear congruential generator chooses the words, so that the same turn always has the
/// same text.
fn turn_text(conversation: u64, turn: u32, min_bytes: u32) -> String {
    let mut text = format!("conversation {conversation} turn {turn}");
    let mut state = conversation ^ (u64::from(turn) << 48);
    while text.len() < min_bytes as usize {
        state = state.wrapping_mul(0x5851_F42D_4C95_7F2D).wrapping_add(0x1405_7B7E_F767_814F);
        text.push(' ');
        text.push_str(WORDS[(state >> 61) as usize]);
    }
    text
}

/// Returns the body of a streamed chat-completions request for the given turn of a conversation.
pub(crate) fn request_body(
    service: &str,
    conversation: u64,
    turn: u32,
    turn_bytes: u32,
    words: u32,
) -> Value {
    let mut messages = Vec::new();
    for earlier_turn in 0..turn {
        messages.push(
            json!({ "role": "user", "content": turn_text(conversation, earlier_turn, turn_bytes) }),
        );
        messages.push(json!({ "role": "assistant", "content": format!("answer {earlier_turn}") }));
    }
    messages.push(json!({ "role": "user", "content": turn_text(conversation, turn, turn_bytes) }));
    json!({ "model": service, "messages": messages, "max_tokens": words, "stream": true })
}
