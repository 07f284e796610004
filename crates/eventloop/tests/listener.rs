//! Listeners of busy instances.

#![allow(clippy::unwrap_used)]

use std::net::TcpStream;
use std::time::Duration;

use eventloop::listen;

/// Instances that dial at the same moment.
const DIALLERS: usize = 300;

/// Shorter than the pause after which a connection that found no place is dialled again.
const PATIENCE: Duration = Duration::from_millis(500);

#[test]
fn a_large_fleet_that_dials_a_busy_instance_at_once_need_not_dial_again() {
    let listener = listen(([127, 0, 0, 1], 0).into()).unwrap();
    let address = listener.local_addr().unwrap();
    let dial = |_| TcpStream::connect_timeout(&address, PATIENCE);
    let dialled: Vec<_> = (0..DIALLERS).map(dial).take_while(Result::is_ok).collect();
    assert_eq!(dialled.len(), DIALLERS, "the others found no place");
}
