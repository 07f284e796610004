//! Numbers that name voters, terms, places in the log and proposals.

use std::fmt;

use names::{Incarnation, Instance};
use serde::{Deserialize, Serialize};

use crate::Index;

/// A period with at most one leader, from 1.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term(pub u64);

impl fmt::Display for Term {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// One data folder that stores the log. An instance that lost its folder gets another number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Voter(pub u64);

impl fmt::Display for Voter {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Term and index of an entry; orders logs by how recent they are.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Term in which the entry was appended.
    pub term: Term,
    /// Its index.
    pub index: Index,
}

/// The term a voter is in and the vote that it gave there.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ballot {
    /// The newest term seen.
    pub term: Term,
    /// Who got the vote of that term.
    pub vote: Option<Voter>,
}

/// Names one proposal in the whole fleet, so that a duplicate is recognized.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// The instance that proposes.
    pub instance: Instance,
    /// Its run.
    pub incarnation: Incarnation,
    /// Grows by one with every proposal of the run, from 1.
    pub sequence: u64,
}
