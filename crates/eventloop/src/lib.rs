//! The event loop that runs actors, and mailboxes from other threads into it.

mod mailbox;
mod run;

pub use mailbox::{Sender, mailbox};
pub use run::{Error, Loop};
