//! Validated names and numeric identifiers of instances, upstreams, client accounts and requests.
//!
//! Every name is a newtype over `String` that is built with `TryFrom` or `FromStr`, so that every
//! value of these types is valid.

mod error;
mod identifier;
mod name;
mod odd;

pub use error::Error;
pub use identifier::{Attempt, Incarnation, Request};
pub use name::{ClientAccount, DataCentre, Instance, Kind, Model, Operator, Service, Upstream};
pub use odd::{is_connectable, shorten};
