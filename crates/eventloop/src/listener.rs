//! TCP listeners to which many peers may connect at the same time.

use std::io;
use std::net::{SocketAddr, TcpListener};

use socket2::{Domain, Socket, Type};

/// Number of connections that may wait to be accepted. All instances of a large fleet connect to
/// the control instances at the same moment when they restart. A connection that does not fit the
/// backlog is retried only after a second or more.
const BACKLOG: i32 = 1024;

/// Creates a non-blocking listener on `address`.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}
