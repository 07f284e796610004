//! Actor that checks whether a process listens at an address.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Instant;

use stakker::{CX, Fwd, Ret, at, fwd_to, ret, stop};
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, ReadStatus, Ready, TcpStreamBuf};

use super::connection::SOCKET_PRIORITY;

/// Result of a check whether a process listens at an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Listening {
    /// A connection was established.
    Accepts,
    /// The host refused the connection, because no process listens there.
    Refuses,
    /// There was no answer in time, or another error.
    Unknown,
}

/// Connection that is opened for the check and closed at once.
pub(super) struct ListenCheck {
    stream: TcpStreamBuf,
    result: Option<Ret<Listening>>,
}

impl ListenCheck {
    pub(super) fn init(
        cx: CX![],
        address: SocketAddr,
        deadline: Instant,
        result: Ret<Listening>,
    ) -> Option<Self> {
        let mut check = Self { stream: TcpStreamBuf::new(), result: Some(result) };
        let ready: Fwd<Ready> = fwd_to!([cx], on_ready() as (Ready));
        let connected = TcpStream::connect(address).and_then(|socket| {
            let interest = Interest::READABLE | Interest::WRITABLE;
            cx.anymap_get::<MioPoll>().add(socket, interest, SOCKET_PRIORITY, ready)
        });
        match connected {
            Ok(source) => {
                check.stream.init(source);
                at!(deadline, [cx], finish(Listening::Unknown));
            }
            Err(error) => check.finish(cx, listening(error.kind())),
        }
        Some(check)
    }

    fn on_ready(&mut self, cx: CX![], ready: Ready) {
        if !ready.is_writable() && !ready.is_error() {
            return;
        }
        match self.stream.read(1) {
            // The connection is not established yet.
            ReadStatus::Error(error) if error.kind() == ErrorKind::NotConnected => {}
            ReadStatus::Error(error) => self.finish(cx, listening(error.kind())),
            ReadStatus::NewData | ReadStatus::WouldBlock | ReadStatus::EndOfStream => {
                self.finish(cx, Listening::Accepts);
            }
        }
    }

    fn finish(&mut self, cx: CX![], listening: Listening) {
        if let Some(result) = self.result.take() {
            ret!([result], listening);
        }
        stop!(cx);
    }
}

fn listening(error: ErrorKind) -> Listening {
    match error {
        ErrorKind::ConnectionRefused => Listening::Refuses,
        _ => Listening::Unknown,
    }
}
