//! Labels, which selectors choose by.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// One label: a key with its value.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Label {
    /// What the label tells of.
    pub key: String,
    /// What it tells.
    pub value: String,
}

/// Labels of one thing, sorted by key, each key once.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "BTreeMap<String, String>", into = "BTreeMap<String, String>")]
pub struct Labels {
    sorted: Vec<Label>,
}

impl Labels {
    /// The value of the label `key`, if there is one.
    pub fn get(&self, key: &str) -> Option<&str> {
        let index = self.sorted.binary_search_by(|label| label.key.as_str().cmp(key)).ok()?;
        Some(self.sorted[index].value.as_str())
    }

    /// Sets the label `key` to `value`, in place of an earlier value.
    pub fn set(&mut self, key: String, value: String) {
        match self.sorted.binary_search_by(|label| label.key.cmp(&key)) {
            Ok(index) => self.sorted[index].value = value,
            Err(index) => self.sorted.insert(index, Label { key, value }),
        }
    }

    /// The labels in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = &Label> {
        self.sorted.iter()
    }
}

impl From<BTreeMap<String, String>> for Labels {
    fn from(map: BTreeMap<String, String>) -> Self {
        let sorted = map.into_iter().map(|(key, value)| Label { key, value }).collect();
        Self { sorted }
    }
}

impl From<Labels> for BTreeMap<String, String> {
    fn from(labels: Labels) -> Self {
        labels.sorted.into_iter().map(|label| (label.key, label.value)).collect()
    }
}
