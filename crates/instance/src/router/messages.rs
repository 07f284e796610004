//! Messages of a chat-completions request, of which only what routing needs is kept.

use std::fmt;

use quarantine::MAX_KEYS;
use serde::de::{Deserialize, Deserializer, SeqAccess, Visitor};
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

/// Number of first messages whose hash identifies a conversation without an id.
const HASHED_MESSAGES: usize = 2;

/// Size of a body in bytes up to which its parsed form is small whatever it contains.
const SMALL_BODY_BYTES: usize = 8 << 10;

/// Maximum depth of nested values that the parser accepts.
const MAX_DEPTH: u32 = 128;

/// Depth of the values in an array of the request, such as a message.
const ELEMENT_DEPTH: u32 = 2;

/// Memory of an object with its first field, in bytes: one node of its tree.
const OBJECT_BYTES: usize = 720;

/// Memory of another field of an object, in bytes.
const FIELD_BYTES: usize = 160;

/// Memory of an array with its first value, in bytes.
const ARRAY_BYTES: usize = 160;

/// Memory of another value of an array, in bytes: arrays grow to twice their size.
const VALUE_BYTES: usize = 64;

/// Memory of a string beside its text, in bytes.
const STRING_BYTES: usize = 48;

/// Number of messages that are in memory in parsed form at once.
const PARSED_MESSAGES: usize = 2;

/// What routing needs of the messages of a request. The messages are parsed one after the other, so
/// that very many short ones need no memory.
pub(super) struct Messages {
    /// Hash of the first messages, which is the same for all requests of a conversation.
    pub(super) conversation_hash: u64,
    /// Hash of each message, the last one first, because only a limited number of keys is looked at.
    pub(super) keys: Vec<quarantine::Key>,
    /// Whether the messages before the last one contain an answer of the engine.
    pub(super) has_answer: bool,
    /// Size of the last message as text, or `None` without messages.
    pub(super) last_bytes: Option<usize>,
}

struct MessagesVisitor;

fn key(text: &str) -> quarantine::Key {
    quarantine::Key(xxh3_64(text.as_bytes()))
}

impl<'de> Visitor<'de> for MessagesVisitor {
    type Value = Messages;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a sequence")
    }

    fn visit_seq<A>(self, mut sequence: A) -> Result<Messages, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let mut first_messages = String::new();
        let mut shared = Vec::new();
        let mut has_answer = false;
        let mut last: Option<Value> = None;
        let mut count = 0;
        while let Some(message) = sequence.next_element::<Value>()? {
            if count < HASHED_MESSAGES {
                first_messages.push_str(&message.to_string());
            }
            count += 1;
            if let Some(earlier) = last.replace(message) {
                has_answer |= earlier["role"] == "assistant";
                if shared.len() + 1 < MAX_KEYS {
                    shared.push(key(&earlier.to_string()));
                }
            }
        }
        let last = last.map(|message| message.to_string());
        let mut keys: Vec<quarantine::Key> = last.iter().map(|text| key(text)).collect();
        keys.extend(shared);
        Ok(Messages {
            conversation_hash: xxh3_64(first_messages.as_bytes()),
            keys,
            has_answer,
            last_bytes: last.map(|text| text.len()),
        })
    }
}

impl<'de> Deserialize<'de> for Messages {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_seq(MessagesVisitor)
    }
}

/// Returns an upper estimate of the memory that the parser needs for `body`, in bytes. It counts the
/// values of the largest message without parsing them, because very many short values need far more
/// memory than their text.
pub(super) fn parsed_bytes(body: &[u8]) -> usize {
    if body.len() <= SMALL_BODY_BYTES {
        return 0;
    }
    let (mut largest, mut current) = (0, 0);
    // One bit for each nested value, the innermost in the lowest place: 1 for an object.
    let (mut objects, mut depth) = (0u128, 0);
    let (mut is_string, mut is_escaped) = (false, false);
    for byte in body {
        if is_string {
            match byte {
                _ if is_escaped => is_escaped = false,
                b'\\' => is_escaped = true,
                b'"' => is_string = false,
                _ => {}
            }
            continue;
        }
        match byte {
            b'"' => {
                is_string = true;
                current += STRING_BYTES;
            }
            b'{' | b'[' if depth == MAX_DEPTH => break,
            b'{' | b'[' => {
                let is_object = *byte == b'{';
                objects = objects << 1 | u128::from(is_object);
                depth += 1;
                current += if is_object { OBJECT_BYTES } else { ARRAY_BYTES };
            }
            b'}' | b']' => {
                objects >>= 1;
                depth = u32::saturating_sub(depth, 1);
            }
            b',' => current += if objects & 1 == 1 { FIELD_BYTES } else { VALUE_BYTES },
            _ => {}
        }
        if depth <= ELEMENT_DEPTH {
            largest = largest.max(current);
            current = 0;
        }
    }
    (largest.max(current) + body.len()) * PARSED_MESSAGES
}
