//! Failure detection between instances, in the manner of SWIM.
//!
//! [`Detector`] is a core without I/O: it takes the time and messages of peers, and gives
//! [`Action`]s. Each instance probes one peer a period, asks others to probe a silent one, and
//! spreads what it learns on the probes themselves, so that the cost of an instance does not
//! depend on the size of the fleet.

mod detector;
mod message;
mod record;
mod rumours;

pub use detector::{Action, Detector, seniority};
pub use message::{Message, Rumour, Status};
pub use record::Member;
