//! Identifiers of voters, terms, log positions and proposals.

use std::fmt;

use names::{Incarnation, Instance};
use serde::{Deserialize, Serialize};

use crate::Index;

/// Election term, counted from 1. Each term has at most one leader.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term(pub u64);

impl fmt::Display for Term {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Identifier of a data folder that stores the log. An instance that lost its data folder gets a
/// new identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterId(pub u64);

impl fmt::Display for VoterId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Term and index of an entry. The ordering of positions tells which of two logs is more up to
/// date.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Term in which the entry was appended.
    pub term: Term,
    /// Index of the entry in the log.
    pub index: Index,
}

/// Current term of a voter and the vote that it cast in that term.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ballot {
    /// Highest term that the voter has seen.
    pub term: Term,
    /// Candidate that received the vote of that term.
    pub vote: Option<VoterId>,
}

/// Identifier of a proposal, unique across the fleet, which allows duplicates to be detected.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProposalId {
    /// Instance that made the proposal.
    pub instance: Instance,
    /// Incarnation of that instance.
    pub incarnation: Incarnation,
    /// Sequence number of the proposal within the incarnation, counted from 1.
    pub sequence: u64,
}
