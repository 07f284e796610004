//! Permits to call upstreams.
//!
//! Within a data centre each upstream is owned by one live instance, which alone gives permits to
//! call it and so knows its load exactly. [`Node`] is the part of one instance: as holder it asks
//! the owners of upstreams for permits on behalf of its callers, as owner it gives them within
//! the load bound. It is a core without I/O: time, messages and views come in, [`Action`]s go
//! out.

mod book;
mod gates;
mod held;
mod holder;
mod locations;
mod message;
mod node;
mod owner;
mod pool;
mod routes;
mod seen;
mod sums;
mod terms;
mod walk;
mod watch;

pub use message::{Ask, Evidence, Load, Message, Outcome, PermitId, Pool, Report};
pub use node::{Action, Context, Granted, Node, Placed, Wanted};
pub use terms::Usage;
