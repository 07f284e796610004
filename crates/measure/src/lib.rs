//! Load generator that sends a seeded open-loop load to running instances and stand-ins.
//!
//! The crate starts no processes. [`run`] offers the load of a [`Scenario`] and returns a
//! [`Report`]; [`Comparison`] compares the time to the first token of calls through an instance
//! with that of direct calls to stand-in engines.

mod client;
mod comparison;
mod control;
mod error;
mod generator;
mod group;
mod plan;
mod plot;
mod pool;
mod probe;
mod prompt;
mod report;
mod run;
mod sampler;
mod scenario;
mod score;

pub use client::{Observation, Outcome};
pub use comparison::{Arrival, Comparison, Difference, Route, RouteSummary};
pub use error::Error;
pub use group::Group;
pub use plan::{Request, extra_window, plan};
pub use plot::plot;
pub use probe::Overhead;
pub use report::{Balance, Event, Report, Scores};
pub use run::{Target, run};
pub use sampler::Skew;
pub use scenario::{Account, Extra, Scenario, Work};
