//! Choice of the upstream for a conversation.
//!
//! A [`Policy`] orders the candidates; the first that has room takes the request. [`Bounded`] is
//! the default, the others are baselines; a setting names the [`Choice`].

mod baselines;
mod bound;
mod bounded;
mod choice;
mod error;
mod ownership;
mod policy;
mod rendezvous;
mod spills;

pub use baselines::{LeastLoad, Random, RoundRobin};
pub use bound::{Bound, Sum};
pub use bounded::Bounded;
pub use choice::Choice;
pub use error::Error;
pub use ownership::{chosen, key_of, owner};
pub use policy::{Candidate, Knowledge, Policy};
pub use rendezvous::{Rendezvous, home, weight};
pub use spills::Spills;
