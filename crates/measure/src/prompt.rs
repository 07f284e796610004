//! The text of conversations: each turn keeps what earlier ones said.

use serde_json::{Value, json};

const WORDS: [&str; 8] = ["delta", "flight", "log", "field", "salt", "wind", "height", "camera"];

fn text(conversation: u64, turn: u32, bytes: u32) -> String {
    let mut text = format!("conversation {conversation} turn {turn}");
    let mut state = conversation ^ (u64::from(turn) << 48);
    while text.len() < bytes as usize {
        state = state.wrapping_mul(0x5851_F42D_4C95_7F2D).wrapping_add(0x1405_7B7E_F767_814F);
        text.push(' ');
        text.push_str(WORDS[(state >> 61) as usize]);
    }
    text
}

/// The body of a chat-completions request.
pub(crate) fn body(
    service: &str,
    conversation: u64,
    turn: u32,
    turn_bytes: u32,
    words: u32,
) -> Value {
    let mut messages = Vec::new();
    for earlier in 0..turn {
        messages
            .push(json!({ "role": "user", "content": text(conversation, earlier, turn_bytes) }));
        messages.push(json!({ "role": "assistant", "content": format!("answer {earlier}") }));
    }
    messages.push(json!({ "role": "user", "content": text(conversation, turn, turn_bytes) }));
    json!({ "model": service, "messages": messages, "max_tokens": words, "stream": true })
}
