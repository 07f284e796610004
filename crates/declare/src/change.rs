//! Changes between two revisions, and their wording for people.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::Section;

/// Fields whose values stay out of the wording.
const HIDDEN_FIELDS: [&str; 1] = ["keys"];

/// Longest value in the wording, in characters.
const MAX_VALUE_CHARACTERS: usize = 80;

/// One item that differs between two revisions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The list that the item stands in.
    pub section: Section,
    /// The item's name.
    pub name: String,
    /// It as JSON before the change; none when it is added.
    pub before: Option<String>,
    /// It as JSON after the change; none when it is removed.
    pub after: Option<String>,
}

impl Change {
    /// The change that takes this one back.
    pub fn reverted(&self) -> Self {
        Self {
            section: self.section,
            name: self.name.clone(),
            before: self.after.clone(),
            after: self.before.clone(),
        }
    }

    /// Bytes of text in the change.
    pub fn length(&self) -> usize {
        let texts = [&self.before, &self.after];
        let texts: usize = texts.into_iter().flatten().map(String::len).sum();
        self.name.len() + texts
    }

    /// The change in words, such as `service "x": kind a -> b`. Hashes of keys are left out.
    pub fn words(&self) -> String {
        let what = match (&self.before, &self.after) {
            (None, _) => "added".to_string(),
            (_, None) => "removed".to_string(),
            (Some(before), Some(after)) => difference(before, after),
        };
        format!("{} \"{}\": {what}", self.section, self.name)
    }
}

fn difference(before: &str, after: &str) -> String {
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
        fields.push(format!("{path} {} -> {}", show(before), show(after)));
        return;
    };
    let added = new.keys().filter(|name| !old.contains_key(*name));
    for name in old.keys().chain(added) {
        let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
        let (before, after) = (old.get(name), new.get(name));
        compare(&path, before.unwrap_or(&Value::Null), after.unwrap_or(&Value::Null), fields);
    }
}

fn show(value: &Value) -> String {
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
