//! Selection of the upstream for a conversation.
//!
//! A [`Policy`] orders the candidates, and the first one with capacity gets the request.
//! [`BoundedRendezvous`] is the default policy and the others are baselines; the setting
//! `policies.placement` selects one by its [`PolicyKind`].

mod baselines;
mod bound;
mod bounded_rendezvous;
mod choice;
mod error;
mod ownership;
mod policy;
mod rendezvous;
mod spilled_conversations;

pub use baselines::{LeastLoad, Random, RoundRobin};
pub use bound::{LoadBound, TotalLoad};
pub use bounded_rendezvous::BoundedRendezvous;
pub use choice::PolicyKind;
pub use error::Error;
pub use ownership::{hash_name, owner, rendezvous_owner};
pub use policy::{Candidate, LoadSource, Policy};
pub use rendezvous::{Rendezvous, home, weight};
pub use spilled_conversations::SpilledConversations;
