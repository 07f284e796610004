//! Checked names of instances, data centres, upstreams, client accounts and the rest.
//!
//! Every name is a newtype over `String`, built with `TryFrom` or `FromStr`, so that a value of
//! one of these types is always well formed.

mod error;
mod name;
mod number;

pub use error::Error;
pub use name::{ClientAccount, DataCentre, Instance, Kind, Model, Operator, Service, Upstream};
pub use number::{Attempt, Incarnation, Request};
