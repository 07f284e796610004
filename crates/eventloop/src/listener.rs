//! Listeners that many peers dial at once.

use std::io;
use std::net::{SocketAddr, TcpListener};

use socket2::{Domain, Socket, Type};

/// Connections that may wait to be accepted. All instances of a large fleet dial the control instances
/// at the same moment when they restart; what does not fit is dialled again after a second or more.
const BACKLOG: i32 = 1024;

/// Listens on `address` without blocking.
///
/// # Errors
///
/// When the address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}
