//! Versioned documents that declare routes, services, client accounts and limits.
//!
//! A [`Catalogue`] is the validated content of a document; it is built from a [`Draft`] by
//! `TryFrom`. The replicated state machine [`Newest`] stores the document with the highest number:
//! a document with a lower or equal number is acknowledged and has no effect. A [`Change`] is the
//! difference between two documents. [`turn`], [`heirs`], [`Lack`] and [`Outflow`] control how
//! instances distribute a new document. A [`Lane`] paces the document reads of operators.
//! [`findings`] and [`differences`] check a catalogue before it is sent.

mod account;
mod change;
mod difference;
mod distribution;
mod draft;
mod entry;
mod error;
mod finding;
mod lane;
mod newest;
mod number;
mod route;
mod service;

pub use account::{Account, Caller};
pub use change::Change;
pub use difference::{Difference, differences};
pub use distribution::{Giving, Lack, Outflow, heirs, turn};
pub use draft::{Catalogue, Draft};
pub use entry::Entry;
pub use error::Error;
pub use finding::{Finding, findings, outdated};
pub use lane::{Course, Lane, Slice};
pub use newest::{Command, Document, Newest, Outcome};
pub use number::Number;
pub use route::{Repeat, Route, Target};
pub use service::{Cold, Engine, Limits, Service, Transfer};
