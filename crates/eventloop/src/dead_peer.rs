//! Connections whose peer may vanish without a word.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use stakker_mio::mio::net::TcpStream;

/// Unanswered probes after which an idle connection ends.
const PROBES: u32 = 2;

/// Shortest time between two probes, the least that the system takes.
const LEAST_INTERVAL: Duration = Duration::from_secs(1);

/// Has the system end `stream` once bytes that were sent on it are not acknowledged for `silence`,
/// or, while it is idle, once some probes stay unanswered. Without that, bytes held up by a cut
/// wait for a repeat whose pauses double, long after the cut has healed.
///
/// # Errors
///
/// When the system refuses the options.
pub fn watch_silence(stream: &TcpStream, silence: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(silence))?;
    let interval = (silence / (PROBES + 1)).max(LEAST_INTERVAL);
    let keepalive =
        TcpKeepalive::new().with_time(interval).with_interval(interval).with_retries(PROBES);
    socket.set_tcp_keepalive(&keepalive)
}
