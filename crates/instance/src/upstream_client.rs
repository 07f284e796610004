//! HTTP client through which an actor calls upstreams.

use std::time::Duration;

use dispatch::{CallEvent, Client, KeepAlive};
use stakker::{ActorOwn, Core, Fwd, Ret, StopCause, actor};

/// Timeouts of the connections to upstreams. Upstreams also keep an idle connection for
/// `idle_timeout`. A connection whose bytes stay unacknowledged is closed after
/// `dead_peer_timeout`, which is no longer than the other timeouts between instances and upstreams.
/// Upstreams may read a long request late, up to `late_reader_timeout`.
const KEEP_ALIVE: KeepAlive = KeepAlive {
    idle_timeout: Duration::from_secs(15),
    close_margin: Duration::from_millis(500),
    dead_peer_timeout: Duration::from_secs(10),
    late_reader_timeout: Duration::from_secs(60),
};

/// Error from an actor whose client has stopped. The stop also ended all calls of the client.
#[derive(Debug, thiserror::Error)]
#[error("the client for calls to upstreams stopped: {0}")]
pub(crate) struct ClientStopped(pub(crate) String);

/// Starts a client that reports the progress of its calls to `events`, and its own end to
/// `stopped`.
pub(crate) fn start(
    core: &mut Core,
    events: Fwd<CallEvent>,
    stopped: Ret<StopCause>,
) -> ActorOwn<Client> {
    actor!(core, Client::init(KEEP_ALIVE, events, Fwd::new(|_| {})), stopped)
}
