//! The event loop that runs actors, mailboxes from other threads into it, and connections that
//! end when their peer falls silent.

mod mailbox;
mod run;
mod silence;

pub use mailbox::{Sender, mailbox};
pub use run::{Error, Loop};
pub use silence::watch_silence;
