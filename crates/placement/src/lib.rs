//! Choice of the upstream for a conversation.
//!
//! A [`Policy`] orders the candidates; the first that has room takes the request.

mod ownership;
mod policy;
mod rendezvous;

pub use ownership::owner;
pub use policy::{Candidate, Policy};
pub use rendezvous::{Rendezvous, weight};
