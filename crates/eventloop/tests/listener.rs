//! Listeners of instances that do not accept connections for a while.

#![allow(clippy::unwrap_used)]

use std::net::TcpStream;
use std::time::Duration;

use eventloop::listen;

/// Number of instances that connect at the same moment.
const CLIENTS: usize = 300;

/// Connection timeout, which is shorter than the time after which the operating system retries a
/// connection that did not fit the backlog.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

#[test]
fn the_backlog_holds_the_simultaneous_connections_of_a_large_fleet() {
    let listener = listen(([127, 0, 0, 1], 0).into()).unwrap();
    let address = listener.local_addr().unwrap();
    let connect = |_| TcpStream::connect_timeout(&address, CONNECT_TIMEOUT);
    let connected: Vec<_> = (0..CLIENTS).map(connect).take_while(Result::is_ok).collect();
    assert_eq!(connected.len(), CLIENTS, "the other connections did not fit the backlog");
}
