//! Orders of operators to evacuate data centres: while an order is in force, the upstreams of the
//! data centre get no requests.
//!
//! The replicated log orders them: its state machine [`OrderLog`] gives each order a number.
//! [`Orders`] holds the newest order about each data centre. It also exists outside the log, at all
//! instances and on the disks of control instances. Of two orders about a data centre the one with
//! the greater number takes precedence, so that [`Orders`] that are merged in any order are equal.

mod log;
mod orders;

pub use log::{Command, MAX_DATA_CENTRES, OrderLog, Outcome};
pub use orders::{Number, Order, Orders};
