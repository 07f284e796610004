//! Limit of the bytes that a TCP connection takes from its process before it sends them.

use std::io;

use socket2::SockRef;
use stakker_mio::mio::net::TcpStream;

/// Sets how many bytes the operating system accepts for sending while the peer has no room for them.
/// Without this limit it accepts megabytes, so that a process cannot tell a peer that reads a
/// message from one that does not.
///
/// # Errors
///
/// Returns an error if the operating system rejects the socket option.
pub fn limit_unsent_bytes(stream: &TcpStream, bytes: u32) -> io::Result<()> {
    SockRef::from(stream).set_tcp_notsent_lowat(bytes)
}
