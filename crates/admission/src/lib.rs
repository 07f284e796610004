//! Ranks, fairness between client accounts, deadlines and queues.
//!
//! A [`Desk`] decides for one upstream which requests run, wait, or are refused. [`Ranked`] is
//! the desk for service; [`Fifo`] is the baseline that it is measured against. [`limit`] holds the limits of
//! client accounts over the whole fleet.

mod choice;
mod desk;
mod fifo;
pub mod limit;
mod ranked;

pub use choice::Choice;
pub use desk::{Decision, Desk, Offer, Step, Ticket, Tokens};
pub use fifo::Fifo;
pub use ranked::Ranked;
