//! Detection of peers that become unreachable without closing their connection.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use stakker_mio::mio::net::TcpStream;

/// Number of unanswered keep-alive probes after which an idle connection ends.
const MAX_UNANSWERED_PROBES: u32 = 2;

/// Shortest interval between two keep-alive probes that the operating system supports.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Configures the operating system to end `stream` if sent bytes are not acknowledged within
/// `timeout` or, while the connection is idle, if keep-alive probes stay unanswered. Without these
/// options, bytes held up by a network partition are retransmitted with exponential backoff, and
/// therefore arrive only long after the partition has healed.
///
/// # Errors
///
/// Returns an error if the operating system rejects the socket options.
pub fn set_dead_peer_timeout(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(timeout))?;
    let interval = (timeout / (MAX_UNANSWERED_PROBES + 1)).max(MIN_PROBE_INTERVAL);
    let keepalive = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval)
        .with_retries(MAX_UNANSWERED_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}
