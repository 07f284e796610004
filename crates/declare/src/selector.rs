//! Selectors that match labels, such as `rank=urgent,centre in (giza, cairo)`.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{Error, Labels};

/// One condition of a selector.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Condition {
    /// The label has one of these values.
    In { key: String, values: Vec<String> },
    /// The label does not exist or has none of these values.
    NotIn { key: String, values: Vec<String> },
    /// The label exists.
    Exists { key: String },
}

impl Condition {
    fn key(&self) -> &str {
        match self {
            Condition::In { key, .. }
            | Condition::NotIn { key, .. }
            | Condition::Exists { key } => key,
        }
    }

    /// Returns the values of which the label must have one; none if it may have others.
    fn required_values(&self) -> Option<&[String]> {
        match self {
            Condition::In { values, .. } => Some(values),
            Condition::NotIn { .. } | Condition::Exists { .. } => None,
        }
    }

    /// Whether a label with the value `value` satisfies the condition.
    fn allows(&self, value: &str) -> bool {
        match self {
            Condition::In { values, .. } => contains(values, value),
            Condition::NotIn { values, .. } => !contains(values, value),
            Condition::Exists { .. } => true,
        }
    }

    fn matches(&self, labels: &Labels) -> bool {
        match self {
            Condition::In { key, values } => {
                labels.get(key).is_some_and(|value| contains(values, value))
            }
            Condition::NotIn { key, values } => {
                labels.get(key).is_none_or(|value| !contains(values, value))
            }
            Condition::Exists { key } => labels.get(key).is_some(),
        }
    }
}

fn contains(values: &[String], value: &str) -> bool {
    values.iter().any(|candidate| candidate == value)
}

/// A selector that matches objects by their labels. The empty selector matches everything.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Selector {
    conditions: Vec<Condition>,
}

impl Selector {
    /// Whether the selector has no conditions and matches everything.
    pub fn is_empty(&self) -> bool {
        self.conditions.is_empty()
    }

    /// Whether a condition uses the label `key`.
    pub fn uses_label(&self, key: &str) -> bool {
        self.conditions.iter().any(|condition| condition.key() == key)
    }

    /// Returns the key of a label for which no value satisfies the conditions, or `None` if some
    /// labels match the selector.
    pub fn contradiction(&self) -> Option<&str> {
        let mut keys = self.conditions.iter().map(Condition::key);
        keys.find(|key| {
            let conditions = || self.conditions.iter().filter(|condition| condition.key() == *key);
            let mut required = conditions().filter_map(Condition::required_values);
            let Some(values) = required.next() else {
                return false;
            };
            let is_possible =
                |value: &String| conditions().all(|condition| condition.allows(value));
            !values.iter().any(is_possible)
        })
    }

    /// Whether every condition of `other` is one of this selector, so that all that this selector
    /// matches is matched by `other` too.
    pub fn is_part_of(&self, other: &Self) -> bool {
        other.conditions.iter().all(|condition| self.conditions.contains(condition))
    }

    /// Whether `labels` satisfy every condition.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.conditions.iter().all(|condition| condition.matches(labels))
    }
}

/// Recursive descent parser of selectors.
struct Parser<'a> {
    text: &'a str,
    /// Offset of the next character, in bytes.
    position: usize,
}

impl<'a> Parser<'a> {
    fn error(&self, problem: impl Into<String>) -> Error {
        Error::InvalidSelector {
            selector: self.text.to_string(),
            column: self.position + 1,
            problem: problem.into(),
        }
    }

    fn rest(&self) -> &'a str {
        &self.text[self.position..]
    }

    fn skip_spaces(&mut self) {
        let rest = self.rest();
        self.position += rest.len() - rest.trim_start().len();
    }

    fn consume(&mut self, token: &str) -> bool {
        self.skip_spaces();
        let found = self.rest().starts_with(token);
        if found {
            self.position += token.len();
        }
        found
    }

    fn parse_word(&mut self, expected: &str) -> Result<String, Error> {
        self.skip_spaces();
        let length = self
            .rest()
            .find(|character: char| {
                !character.is_ascii_alphanumeric() && !matches!(character, '.' | '_' | '-' | '/')
            })
            .unwrap_or(self.rest().len());
        if length == 0 {
            return Err(self.error(format!("expected {expected}")));
        }
        let word = self.rest()[..length].to_string();
        self.position += length;
        Ok(word)
    }

    fn parse_values(&mut self) -> Result<Vec<String>, Error> {
        if !self.consume("(") {
            return Err(self.error("expected \"(\""));
        }
        let mut values = vec![self.parse_word("a value")?];
        while self.consume(",") {
            values.push(self.parse_word("a value")?);
        }
        if !self.consume(")") {
            return Err(self.error("expected \",\" or \")\""));
        }
        Ok(values)
    }

    fn parse_condition(&mut self) -> Result<Condition, Error> {
        let key = self.parse_word("a label key")?;
        if self.consume("!=") {
            return Ok(Condition::NotIn { key, values: vec![self.parse_word("a value")?] });
        }
        if self.consume("=") {
            return Ok(Condition::In { key, values: vec![self.parse_word("a value")?] });
        }
        if self.consume("notin ") || self.consume("not in ") {
            return Ok(Condition::NotIn { key, values: self.parse_values()? });
        }
        if self.consume("in ") {
            return Ok(Condition::In { key, values: self.parse_values()? });
        }
        Ok(Condition::Exists { key })
    }

    fn parse_selector(&mut self) -> Result<Selector, Error> {
        self.skip_spaces();
        if self.rest().is_empty() {
            return Ok(Selector::default());
        }
        let mut conditions = vec![self.parse_condition()?];
        while self.consume(",") {
            conditions.push(self.parse_condition()?);
        }
        self.skip_spaces();
        if self.rest().is_empty() {
            Ok(Selector { conditions })
        } else {
            Err(self.error("expected \",\" or the end"))
        }
    }
}

impl FromStr for Selector {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        Parser { text, position: 0 }.parse_selector()
    }
}

impl TryFrom<String> for Selector {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}

impl From<Selector> for String {
    fn from(selector: Selector) -> String {
        selector.to_string()
    }
}

impl fmt::Display for Condition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Condition::In { key, values } => write!(formatter, "{key} in ({})", values.join(", ")),
            Condition::NotIn { key, values } => {
                write!(formatter, "{key} notin ({})", values.join(", "))
            }
            Condition::Exists { key } => formatter.write_str(key),
        }
    }
}

impl fmt::Display for Selector {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, condition) in self.conditions.iter().enumerate() {
            if index > 0 {
                formatter.write_str(",")?;
            }
            write!(formatter, "{condition}")?;
        }
        Ok(())
    }
}
