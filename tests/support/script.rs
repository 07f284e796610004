//! Scripted answers of an upstream: any bytes, followed by any end of the connection.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Pause within an answer, in which the first bytes arrive on their own.
pub const PAUSE: Duration = Duration::from_millis(50);

/// Pause after a byte that arrives on its own.
const BYTE_PAUSE: Duration = Duration::from_micros(300);

/// A request to be answered by a script.
pub struct ScriptedRequest<'a> {
    /// Value of the header `request-id`.
    pub id: &'a str,
    pub path: &'a str,
    /// Value of the header `last-event-id`, if the request resumes a stream.
    pub last_event_id: Option<&'a str>,
    /// Headers, with names in lower case.
    pub headers: &'a BTreeMap<String, String>,
    pub body: &'a [u8],
}

/// What happens to the connection after the bytes of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The upstream closes the connection and goes on.
    Close,
    /// The upstream keeps the connection open and reads the next request from it.
    KeepOpen,
    /// The upstream resets the connection and goes on.
    Reset,
    /// The upstream closes the connection, and its host responds to no new ones from then on.
    CloseAndHang,
    /// The upstream ends as a crash of its process does: it refuses connections from then on, and
    /// all of its connections are closed.
    Crash,
    /// As `Crash`, and all of its connections are reset.
    CrashWithResets,
    /// The upstream closes its side of the connection properly, and resets the connection later.
    CloseThenReset,
    /// The upstream closes its side of the connection properly, and reads on until the instance
    /// closes it as well.
    CloseThenRead,
    /// The upstream reads what the instance still sends, and closes the connection properly.
    ReadThenClose,
}

/// How the bytes of an answer arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    AtOnce,
    /// Each byte on its own.
    ByteByByte,
    /// With a pause of [`PAUSE`] at each [`SPLIT_MARK`].
    Split,
}

/// Mark in the bytes of an answer that is not sent, see [`Arrival::Split`].
pub const SPLIT_MARK: char = '^';

/// Answer to one request.
#[derive(Debug, Clone)]
pub struct Script {
    /// Raw bytes of the answer, head included. `ID` in the head stands for the id of the request.
    pub bytes: Vec<u8>,
    /// Number of bytes of the body after which the upstream pauses for [`PAUSE`], if it does.
    pub pause_at: Option<usize>,
    /// How the bytes arrive; `None` for the head at once, and the body as `pause_at` says.
    pub arrival: Option<Arrival>,
    pub end: End,
}

impl Script {
    /// Creates an answer that is sent at once.
    pub fn new<T>(text: T, end: End) -> Self
    where
        T: Into<String>,
    {
        Self { bytes: text.into().into_bytes(), pause_at: None, arrival: None, end }
    }

    /// Returns the length of the head, including the empty line that ends it.
    pub fn head_length(&self) -> usize {
        let end = self.bytes.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        end.map_or(self.bytes.len(), |end| end + 4)
    }
}

/// Sends `text` as `arrival` says. A pause follows the bytes that are sent on their own, so that
/// their receiver reads them apart.
pub fn send_text(stream: &mut TcpStream, text: &str, arrival: Arrival) -> std::io::Result<()> {
    match arrival {
        Arrival::AtOnce => stream.write_all(text.replace(SPLIT_MARK, "").as_bytes()),
        Arrival::ByteByByte => {
            text.replace(SPLIT_MARK, "").as_bytes().iter().try_for_each(|byte| {
                stream.write_all(&[*byte])?;
                std::thread::sleep(BYTE_PAUSE);
                Ok(())
            })
        }
        Arrival::Split => text.split(SPLIT_MARK).try_for_each(|part| {
            stream.write_all(part.as_bytes())?;
            std::thread::sleep(PAUSE);
            Ok(())
        }),
    }
}

/// Opens connections to `address` until its queue of connections that were not accepted is full.
/// The host drops further ones while the returned connections are open.
pub fn fill_queue(address: SocketAddr) -> Vec<TcpStream> {
    let connect = || TcpStream::connect_timeout(&address, PAUSE).ok();
    std::iter::from_fn(connect).collect()
}

/// Reads and drops bytes until the peer sends none for a while, or closes the connection.
pub fn read_rest(stream: &mut TcpStream, pause: Duration) {
    stream.set_read_timeout(Some(pause)).unwrap();
    let _ = std::io::copy(stream, &mut std::io::sink());
}

/// Makes the connection send a reset when it is closed.
pub fn reset_on_close(stream: &TcpStream) {
    socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO)).unwrap();
}
