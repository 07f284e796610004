//! Load tool: seeded open-loop load against running instances and stand-ins.
//!
//! It starts no process. [`run`] offers the load of a [`Scenario`] and gives a [`Report`];
//! [`Comparison`] sets the first token through an instance beside that of direct calls.

mod client;
mod comparison;
mod control;
mod error;
mod group;
mod load;
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

pub use client::{End, Seen};
pub use comparison::{Arrival, Comparison, Difference, Path, Side};
pub use error::Error;
pub use group::Group;
pub use plan::{Request, extra_window, plan};
pub use plot::plot;
pub use probe::Added;
pub use report::{Balance, Event, Report, Scores};
pub use run::{Subject, run};
pub use sampler::Skew;
pub use scenario::{Account, Extra, Scenario, Work};
