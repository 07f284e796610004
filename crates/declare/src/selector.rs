//! Selectors over labels, such as `rank=urgent,centre in (giza, cairo)`.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{Error, Labels};

/// One condition of a selector.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Term {
    /// The label has one of these values.
    In { key: String, values: Vec<String> },
    /// The label is missing or has none of these values.
    NotIn { key: String, values: Vec<String> },
    /// The label exists.
    Exists { key: String },
}

impl Term {
    fn key(&self) -> &str {
        match self {
            Term::In { key, .. } | Term::NotIn { key, .. } | Term::Exists { key } => key,
        }
    }

    fn matches(&self, labels: &Labels) -> bool {
        match self {
            Term::In { key, values } => {
                labels.get(key).is_some_and(|value| contains(values, value))
            }
            Term::NotIn { key, values } => {
                labels.get(key).is_none_or(|value| !contains(values, value))
            }
            Term::Exists { key } => labels.get(key).is_some(),
        }
    }
}

fn contains(values: &[String], value: &str) -> bool {
    values.iter().any(|candidate| candidate == value)
}

/// A choice of things by their labels. The empty selector matches everything.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Selector {
    terms: Vec<Term>,
}

impl Selector {
    /// Whether it has no condition and so matches everything.
    pub fn is_empty(&self) -> bool {
        self.terms.is_empty()
    }

    /// Whether a condition is about the label `key`.
    pub fn concerns(&self, key: &str) -> bool {
        self.terms.iter().any(|term| term.key() == key)
    }

    /// Whether every condition holds for `labels`.
    pub fn matches(&self, labels: &Labels) -> bool {
        self.terms.iter().all(|term| term.matches(labels))
    }
}

/// Reads a selector from left to right.
struct Reader<'a> {
    text: &'a str,
    position: usize,
}

impl<'a> Reader<'a> {
    fn error(&self, problem: impl Into<String>) -> Error {
        Error::Selector {
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

    fn take(&mut self, token: &str) -> bool {
        self.skip_spaces();
        let found = self.rest().starts_with(token);
        if found {
            self.position += token.len();
        }
        found
    }

    fn word(&mut self, what: &str) -> Result<String, Error> {
        self.skip_spaces();
        let length = self
            .rest()
            .find(|character: char| {
                !character.is_ascii_alphanumeric() && !matches!(character, '.' | '_' | '-' | '/')
            })
            .unwrap_or(self.rest().len());
        if length == 0 {
            return Err(self.error(format!("expected {what}")));
        }
        let word = self.rest()[..length].to_string();
        self.position += length;
        Ok(word)
    }

    fn values(&mut self) -> Result<Vec<String>, Error> {
        if !self.take("(") {
            return Err(self.error("expected \"(\""));
        }
        let mut values = vec![self.word("a value")?];
        while self.take(",") {
            values.push(self.word("a value")?);
        }
        if !self.take(")") {
            return Err(self.error("expected \",\" or \")\""));
        }
        Ok(values)
    }

    fn term(&mut self) -> Result<Term, Error> {
        let key = self.word("a label key")?;
        if self.take("!=") {
            return Ok(Term::NotIn { key, values: vec![self.word("a value")?] });
        }
        if self.take("=") {
            return Ok(Term::In { key, values: vec![self.word("a value")?] });
        }
        if self.take("notin ") || self.take("not in ") {
            return Ok(Term::NotIn { key, values: self.values()? });
        }
        if self.take("in ") {
            return Ok(Term::In { key, values: self.values()? });
        }
        Ok(Term::Exists { key })
    }

    fn selector(&mut self) -> Result<Selector, Error> {
        self.skip_spaces();
        if self.rest().is_empty() {
            return Ok(Selector::default());
        }
        let mut terms = vec![self.term()?];
        while self.take(",") {
            terms.push(self.term()?);
        }
        self.skip_spaces();
        if self.rest().is_empty() {
            Ok(Selector { terms })
        } else {
            Err(self.error("expected \",\" or the end"))
        }
    }
}

impl FromStr for Selector {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        Reader { text, position: 0 }.selector()
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

impl fmt::Display for Term {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Term::In { key, values } => write!(formatter, "{key} in ({})", values.join(", ")),
            Term::NotIn { key, values } => write!(formatter, "{key} notin ({})", values.join(", ")),
            Term::Exists { key } => formatter.write_str(key),
        }
    }
}

impl fmt::Display for Selector {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, term) in self.terms.iter().enumerate() {
            if index > 0 {
                formatter.write_str(",")?;
            }
            write!(formatter, "{term}")?;
        }
        Ok(())
    }
}
