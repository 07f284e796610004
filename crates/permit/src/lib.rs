//! Permits to call upstreams.
//!
//! Within a data centre, each upstream is owned by one live instance. Only the owner grants
//! permits to call the upstream, so it knows the upstream's exact load. A [`Node`] is the state of
//! one instance: as a holder it requests permits from the owners of upstreams on behalf of its
//! callers, and as an owner it grants permits within the load bound. A node does no I/O: the
//! caller passes in the time, messages and membership changes, and executes the returned
//! [`Action`]s.

mod full_upstreams;
mod held_permits;
mod holder;
mod limits;
mod locations;
mod message;
mod node;
mod owned_upstream;
mod owner;
mod pool;
mod pool_load;
mod refusals;
mod relay;
mod search;
mod watch;

pub use limits::Usage;
pub use message::{
    InFlight, Message, ObservedLoad, Outcome, PermitId, PermitReport, PermitRequest, Pool,
};
pub use node::{Action, Context, GrantedPermit, Node, PlacementOutcome, PlacementRequest};
