//! Declarations: services, client accounts, kinds of work, labels and selectors.
//!
//! Operators keep declarations as YAML in version control. [`Declarations`] is built with
//! `TryFrom<String>`, which checks every reference between its parts.

mod error;
mod key;
mod label;
mod model;
mod selector;

pub use error::Error;
pub use key::KeyHash;
pub use label::{Label, Labels};
pub use model::{ClientAccount, Declarations, Kind, Rank, Service, Target};
pub use selector::Selector;
