//! Ranks, fairness between client accounts, deadlines and queues.
//!
//! A [`Desk`] decides for one upstream which requests run, wait, or are refused.

mod desk;
mod fifo;

pub use desk::{Decision, Desk, Offer, Step, Ticket, Tokens};
pub use fifo::Fifo;
