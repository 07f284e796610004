//! A small HTTP/1.1 client and reader of requests.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Fields of a message, in the order in which they were sent. Names are in lower case.
pub type Fields = Vec<(String, String)>;

/// An answer to a request.
pub struct Answer {
    pub status: u16,
    /// Whether the length or the last chunk shows that the answer is whole.
    pub is_whole: bool,
}

/// Parses the lines behind the first one.
fn parse_fields(lines: &str) -> Fields {
    let fields = lines.split("\r\n").filter_map(|line| line.split_once(':'));
    fields.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string())).collect()
}

/// Returns the first value of the field `name`.
pub fn field<'a>(fields: &'a Fields, name: &str) -> Option<&'a str> {
    fields.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
}

/// Returns the start line, the fields and the length of a complete head.
pub fn parse_head(bytes: &[u8]) -> Option<(String, Fields, usize)> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let (first, rest) = text.split_once("\r\n").unwrap_or((&text, ""));
    Some((first.to_string(), parse_fields(rest), end + 4))
}

/// Returns the data of a body in chunks, or `None` if its end is missing.
fn dechunk(mut bytes: &[u8]) -> Option<Vec<u8>> {
    let mut data = Vec::new();
    loop {
        let end = bytes.windows(2).position(|window| window == b"\r\n")?;
        let size = std::str::from_utf8(&bytes[..end]).ok()?;
        let size = usize::from_str_radix(size.trim(), 16).ok()?;
        bytes = &bytes[end + 2..];
        if size == 0 {
            return Some(data);
        }
        data.extend_from_slice(bytes.get(..size)?);
        bytes = bytes.get(size + 2..)?;
    }
}

/// Sends `request` on a new connection and reads the answer, for at most `timeout`.
pub fn call(address: SocketAddr, request: &[u8], timeout: Duration) -> std::io::Result<Answer> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(timeout))?;
    stream.write_all(request)?;
    let (mut received, mut block, mut is_closed) = (Vec::new(), [0; 16 << 10], false);
    loop {
        if let Some((first, fields, length)) = parse_head(&received) {
            let status = first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
            let rest = &received[length..];
            let expected = field(&fields, "content-length").and_then(|text| text.parse().ok());
            let is_chunked = field(&fields, "transfer-encoding").is_some();
            let whole = match (expected, is_chunked) {
                (Some(expected), _) => rest.get(..expected).map(<[u8]>::to_vec),
                (None, true) => dechunk(rest),
                (None, false) => None,
            };
            if whole.is_some() {
                return Ok(Answer { status, is_whole: true });
            }
            if is_closed {
                return Ok(Answer { status, is_whole: false });
            }
        }
        if is_closed {
            return Err(std::io::Error::other("closed without an answer"));
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(std::io::Error::other("no whole answer in time"));
        }
        stream.set_read_timeout(Some(left))?;
        match stream.read(&mut block)? {
            0 => is_closed = true,
            count => received.extend_from_slice(&block[..count]),
        }
    }
}

/// Returns the bytes of a request with a body.
pub fn request(method: &str, path: &str, fields: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    text.into_bytes()
}
