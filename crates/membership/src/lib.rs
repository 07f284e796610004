//! Failure detection between instances, in the manner of SWIM.
//!
//! [`Detector`] performs no I/O: it takes the current time and messages from peers, and returns
//! [`Action`]s. Each instance probes one peer per interval, asks other peers to probe an
//! unresponsive one, and piggybacks membership updates on the probes, so that the cost per
//! instance does not depend on the size of the fleet.

mod detector;
mod gossip;
mod message;
mod record;

pub use detector::{Action, Detector, rank};
pub use message::{MemberState, Message, Status};
pub use record::Member;
