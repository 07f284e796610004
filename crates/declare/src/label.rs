//! Labels, which selectors match.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// One label: a key with its value.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Label {
    /// Name of the labelled property.
    pub key: String,
    /// Value of the labelled property.
    pub value: String,
}

/// Labels of one object, sorted by key and without duplicate keys.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "BTreeMap<String, String>", into = "BTreeMap<String, String>")]
pub struct Labels {
    sorted: Vec<Label>,
}

impl Labels {
    /// Returns the value of the label `key`.
    pub fn get(&self, key: &str) -> Option<&str> {
        let index = self.sorted.binary_search_by(|label| label.key.as_str().cmp(key)).ok()?;
        Some(self.sorted[index].value.as_str())
    }

    /// Sets the label `key` to `value` and replaces an earlier value.
    pub fn set(&mut self, key: String, value: String) {
        match self.sorted.binary_search_by(|label| label.key.cmp(&key)) {
            Ok(index) => self.sorted[index].value = value,
            Err(index) => self.sorted.insert(index, Label { key, value }),
        }
    }

    /// Returns the labels, sorted by key.
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
