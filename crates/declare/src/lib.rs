//! Declarations of services, client accounts and kinds of work, with labels and selectors.
//!
//! Operators store declarations as YAML in version control. [`Declarations`] is built by
//! `TryFrom<String>`, which checks every reference between the items. [`Revisions`] is the
//! replicated state machine that numbers the revisions of the declarations. [`View`] is the copy of
//! the newest revision on each instance, which is updated from peers. Neither of them does I/O.

mod answered_orders;
mod change;
mod command;
mod declarations;
mod document;
mod error;
mod finding;
mod history;
mod key;
mod label;
mod message;
mod number;
mod revisions;
mod rollout;
mod selector;
mod view;

pub use answered_orders::MAX_ANSWERED_ORDERS;
pub use change::Change;
pub use command::{Apply, Command, Origin, Outcome, Rollback, WinningRevision};
pub use declarations::{ClientAccount, Declarations, Kind, Rank, Service, Target};
pub use document::{Document, Item, Mark, Section};
pub use error::{Error, Errors};
pub use finding::{Finding, findings};
pub use history::{
    Cause, Entry, History, MAX_AUDIT_RECORDS, MAX_HISTORY_BYTES, MAX_HISTORY_REVISIONS, Record,
};
pub use key::KeyHash;
pub use label::{Label, Labels};
pub use message::{Delta, Digest, Message, Part, PartRequest, Pull};
pub use number::{Moment, Order, Revision};
pub use revisions::Revisions;
pub use rollout::{Action, ROLE_LABEL, RoleChange, Rollout};
pub use selector::Selector;
pub use view::{MAX_CHUNK_BYTES, Reaction, View};
