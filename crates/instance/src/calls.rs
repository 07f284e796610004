//! The client that makes an actor's calls to upstreams.

use std::time::Duration;

use dispatch::{Client, Event, Keeping};
use stakker::{ActorOwn, Core, Fwd, Ret, StopCause, actor};

/// How connections are kept: an idle one for a while that upstreams keep theirs for, too, and none
/// that swallows bytes for longer than the other timeouts between instances and upstreams.
const KEEPING: Keeping = Keeping {
    idle: Duration::from_secs(15),
    margin: Duration::from_millis(500),
    silence: Duration::from_secs(10),
};

/// The client of an actor has ended, and its calls with it.
#[derive(Debug, thiserror::Error)]
#[error("the client of upstreams ended: {0}")]
pub(crate) struct Ended(pub(crate) String);

/// A client whose `events` get the progress of calls; `ended` is told if it ends.
pub(crate) fn client(
    core: &mut Core,
    events: Fwd<Event>,
    ended: Ret<StopCause>,
) -> ActorOwn<Client> {
    actor!(core, Client::init(KEEPING, events, Fwd::new(|_| {})), ended)
}
