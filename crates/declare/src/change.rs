//! Changes between two revisions, and their description as text.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::Section;

/// Fields whose values are omitted from descriptions.
const HIDDEN_FIELDS: [&str; 1] = ["keys"];

/// Maximum length of a value in a description, in characters.
const MAX_VALUE_CHARACTERS: usize = 80;

/// One item that differs between two revisions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Section of the item.
    pub section: Section,
    /// Name of the item.
    pub name: String,
    /// JSON of the item before the change; `None` if the item is added.
    pub before: Option<String>,
    /// JSON of the item after the change; `None` if the item is removed.
    pub after: Option<String>,
}

impl Change {
    /// Returns the change that reverts this change.
    pub fn reverted(&self) -> Self {
        Self {
            section: self.section,
            name: self.name.clone(),
            before: self.after.clone(),
            after: self.before.clone(),
        }
    }

    /// Returns the length of the name and the JSON texts, in bytes.
    pub fn text_bytes(&self) -> usize {
        let texts = [&self.before, &self.after];
        let texts: usize = texts.into_iter().flatten().map(String::len).sum();
        self.name.len() + texts
    }

    /// Describes the change as text, such as `service "x": kind a -> b`. Key hashes are omitted.
    pub fn words(&self) -> String {
        let description = match (&self.before, &self.after) {
            (None, _) => "added".to_string(),
            (_, None) => "removed".to_string(),
            (Some(before), Some(after)) => describe_difference(before, after),
        };
        format!("{} \"{}\": {description}", self.section, self.name)
    }
}

fn describe_difference(before: &str, after: &str) -> String {
    let mut fields = Vec::new();
    compare("", &parse(before), &parse(after), &mut fields);
    fields.join(", ")
}

fn parse(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or(Value::Null)
}

fn compare(path: &str, before: &Value, after: &Value, fields: &mut Vec<String>) {
    if before == after {
        return;
    }
    if HIDDEN_FIELDS.contains(&path) {
        fields.push(format!("{path} changed"));
        return;
    }
    let (Value::Object(old), Value::Object(new)) = (before, after) else {
        fields.push(format!("{path} {} -> {}", format_value(before), format_value(after)));
        return;
    };
    let added = new.keys().filter(|name| !old.contains_key(*name));
    for name in old.keys().chain(added) {
        let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
        let (before, after) = (old.get(name), new.get(name));
        compare(&path, before.unwrap_or(&Value::Null), after.unwrap_or(&Value::Null), fields);
    }
}

fn format_value(value: &Value) -> String {
    let text = match value {
        Value::Null => "none".to_string(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    match text.char_indices().nth(MAX_VALUE_CHARACTERS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}
