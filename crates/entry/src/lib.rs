//! HTTP server for callers.
//!
//! The [`Server`] actor accepts connections. One actor per connection reads requests within limits
//! of size and time and writes the replies. Requests go to the handler as [`Event`]s, and the
//! handler answers with [`Reply`] messages.

mod body;
mod budget;
mod collector;
mod connection;
mod event;
mod form;
mod framing;
mod head;
mod memory;
mod output_budget;
mod output_queue;
mod problem;
mod reply;
mod server;
mod unsent;

pub use body::{Body, BodyOutcome};
pub use event::{Event, Method, Request};
pub use form::{ChatForm, Form};
pub use head::{BodyLength, Head, Header, ParseOutcome};
pub use memory::{Caller, Hold, Memory, Room, SMALL_BYTES};
pub use problem::{Problem, Rejection};
pub use reply::{Reply, Status};
pub use server::{Bounds, Server};
pub use unsent::Unsent;
