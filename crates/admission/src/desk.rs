//! The border between admission policies and their users.

use std::fmt;
use std::time::{Duration, Instant};

use declare::Rank;
use names::{ClientAccount, Kind};
use serde::{Deserialize, Serialize};

/// Names an offered request at its desk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket(pub u64);

/// A number of tokens, prompt and answer together.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Tokens(pub u64);

impl fmt::Display for Tokens {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} tokens", self.0)
    }
}

/// A request that asks to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer {
    /// Its name at the desk.
    pub ticket: Ticket,
    /// Whose request it is.
    pub account: ClientAccount,
    /// The account's share relative to others.
    pub weight: u32,
    /// Its kind of work.
    pub kind: Kind,
    /// The kind's rank.
    pub rank: Rank,
    /// The share of the upstream that the kind keeps in a flood, in percent.
    pub least_share_percent: u32,
    /// When its answer stops to count.
    pub deadline: Instant,
    /// Its expected cost.
    pub cost: Tokens,
}

/// What becomes of an offer at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It runs.
    Run,
    /// It waits; a later [`Step`] tells what becomes of it.
    Wait,
    /// It is refused.
    Refuse {
        /// When to ask again.
        retry_after: Duration,
    },
}

/// What becomes of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// It runs.
    Run(Ticket),
    /// It is refused, since its deadline cannot be met any more.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// When to ask again.
        retry_after: Duration,
    },
}

/// Decides for one upstream which requests run.
pub trait Desk {
    /// Takes a request that asks to run.
    fn offer(&mut self, now: Instant, offer: Offer) -> Decision;

    /// Takes note that a running request ended and what it cost.
    fn finish(&mut self, now: Instant, ticket: Ticket, used: Tokens);

    /// Forgets a waiting request, whose caller went away.
    fn withdraw(&mut self, ticket: Ticket);

    /// Sets how many requests may run at once.
    fn set_room(&mut self, room: u32);

    /// What becomes of waiting requests now; called after each change and at times.
    fn next(&mut self, now: Instant) -> Vec<Step>;

    /// Number of running requests.
    fn running(&self) -> u32;

    /// Number of waiting requests.
    fn waiting(&self) -> u32;

    /// Number of waiting requests that a newcomer of `rank` does not pass.
    fn ahead(&self, rank: Rank) -> u32;
}
