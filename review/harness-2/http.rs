//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Head of a request or of an answer.
#[derive(Debug, Clone)]
pub struct Head {
    /// Request line or status line.
    pub first_line: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(found, _)| found == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the second word of the first line: the path of a request, the status of an answer.
    pub fn second_word(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }
}

/// Reads a head. Returns `None` if the connection ends before its first byte.
pub fn read_head<R: BufRead>(reader: &mut R) -> io::Result<Option<Head>> {
    let mut first_line = String::new();
    if reader.read_line(&mut first_line)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
        }
    }
    Ok(Some(Head { first_line: first_line.trim_end().to_string(), headers }))
}

/// Reads a body with a length, in chunks, or (for answers) up to the end of the connection.
/// Returns the bytes that arrived and whether the framing says that the body is complete.
pub fn read_body<R: BufRead>(reader: &mut R, head: &Head, is_answer: bool) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    if head.header("transfer-encoding").is_some() {
        let is_complete = read_chunks(reader, &mut body).is_ok();
        return (body, is_complete);
    }
    if let Some(length) = head.header("content-length").and_then(|length| length.parse().ok()) {
        let is_complete = reader.take(length).read_to_end(&mut body).is_ok();
        let is_whole = body.len() as u64 == length;
        return (body, is_complete && is_whole);
    }
    if !is_answer || matches!(head.status(), 204 | 304) {
        return (body, true);
    }
    let is_complete = reader.read_to_end(&mut body).is_ok();
    (body, is_complete)
}

fn read_chunks<R: BufRead>(reader: &mut R, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = line.trim().split(';').next().unwrap_or_default();
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size + 2];
        let mut filled = 0;
        while filled < chunk.len() {
            match reader.read(&mut chunk[filled..])? {
                0 => {
                    body.extend_from_slice(&chunk[..filled.min(size)]);
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                count => filled += count,
            }
        }
        body.extend_from_slice(&chunk[..size]);
        if size == 0 {
            return Ok(());
        }
    }
}

/// An answer as a client sees it.
#[derive(Debug, Clone)]
pub struct Answer {
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the framing of the answer says that it is complete.
    pub is_complete: bool,
}

/// Sends a request on a new connection and reads the answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.write_all(&request(address, method, path, headers, body))?;
    read_answer(&mut BufReader::new(stream))
}

pub fn request(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        text.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || matches!(method, "POST" | "PUT") {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn read_answer<R: BufRead>(reader: &mut R) -> io::Result<Answer> {
    loop {
        let head = read_head(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if head.status() == 100 {
            continue;
        }
        let (body, is_complete) = read_body(reader, &head, true);
        return Ok(Answer { head, body, is_complete });
    }
}
