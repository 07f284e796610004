//! Event loop that runs actors, with mailboxes for messages from other threads, listeners, and
//! detection of dead peers and a limit of unsent bytes on TCP connections.

mod child;
mod dead_peer;
mod event_loop;
mod listener;
mod mailbox;
mod unsent_bytes;

pub use child::end_like_child;
pub use dead_peer::set_dead_peer_timeout;
pub use event_loop::{Error, Loop};
pub use listener::listen;
pub use mailbox::{Sender, mailbox};
pub use unsent_bytes::limit_unsent_bytes;
