//! Declarations: services, client accounts, kinds of work, labels and selectors.
//!
//! Operators keep declarations as YAML in version control. [`Declarations`] is built with
//! `TryFrom<String>`, which checks every reference between its parts. [`Revisions`] is the
//! replicated state machine that numbers them; [`View`] is what every instance knows of the newest
//! revision, and how it learns it of its peers. Both are without I/O.

mod change;
mod command;
mod document;
mod error;
mod history;
mod key;
mod label;
mod message;
mod model;
mod number;
mod orders;
mod revisions;
mod rollout;
mod selector;
mod view;

pub use change::Change;
pub use command::{Apply, Command, Origin, Outcome, Rollback, Winner};
pub use document::{Document, Item, Mark, Section};
pub use error::Error;
pub use history::{AUDIT_RECORDS, Cause, Entry, HISTORY_BYTES, HISTORY_REVISIONS, History, Record};
pub use key::KeyHash;
pub use label::{Label, Labels};
pub use message::{Digest, Message, Part, Pull, Step, Wanted};
pub use model::{ClientAccount, Declarations, Kind, Rank, Service, Target};
pub use number::{Moment, Order, Revision};
pub use orders::REMEMBERED_ORDERS;
pub use revisions::Revisions;
pub use rollout::{Action, ROLE_LABEL, RoleChange, Rollout};
pub use selector::Selector;
pub use view::{CHUNK_BYTES, Reaction, View};
