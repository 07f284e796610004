//! Minimal HTTP client for the platform's interfaces.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Response to a request.
#[derive(Debug, Clone)]
pub struct HttpResponse {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the complete body arrived.
    pub is_complete: bool,
}

impl HttpResponse {
    /// Returns the body as text; invalid UTF-8 is replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).to_string()
    }
}

/// Reads a request of the product's own interface; returns its path and its attempt id.
pub fn read_attempt(reader: &mut BufReader<TcpStream>) -> Option<(String, String)> {
    let (mut line, mut id, mut length) = (String::new(), String::new(), 0);
    reader.read_line(&mut line).ok()?;
    let path = line.split(' ').nth(1)?.to_string();
    loop {
        line.clear();
        reader.read_line(&mut line).ok()?;
        match line.trim_end().split_once(": ") {
            Some(("x-attempt-id", value)) => id = value.to_string(),
            Some(("content-length", value)) => length = value.parse().ok()?,
            _ if line == "\r\n" => break,
            _ => {}
        }
    }
    reader.read_exact(&mut vec![0; length]).ok()?;
    Some((path, id))
}

/// Sends one request on a new connection, with timeouts of 20 s.
pub fn send_request(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> std::io::Result<HttpResponse> {
    send_request_with_timeout(address, method, path, headers, body, 20)
}

/// Sends one request on a new connection. `seconds` limits the connection attempt and each read.
pub fn send_request_with_timeout(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    seconds: u64,
) -> std::io::Result<HttpResponse> {
    let timeout = Duration::from_secs(seconds);
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut request = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        request.push_str("Host: api.example\r\n");
    }
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    request.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(request.as_bytes())?;
    read_response(&mut BufReader::new(stream))
}

/// Reads one response.
pub fn read_response<R>(reader: &mut R) -> std::io::Result<HttpResponse>
where
    R: BufRead,
{
    let (start_line, headers) = read_head(reader)?;
    let status = start_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let mut body = Vec::new();
    let is_complete = match headers.get("content-length") {
        Some(length) => {
            let length: u64 = length.parse().unwrap();
            reader.take(length).read_to_end(&mut body).is_ok() && body.len() as u64 == length
        }
        None => read_chunks(reader, &mut body).unwrap_or(false),
    };
    Ok(HttpResponse { status, headers, body, is_complete })
}

/// Reads a chunked body into `body`; returns whether the last chunk arrived.
fn read_chunks<R>(reader: &mut R, body: &mut Vec<u8>) -> std::io::Result<bool>
where
    R: BufRead,
{
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(false);
        }
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
            return Ok(false);
        };
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(true);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Reads the start line and the headers, with header names in lower case.
pub(super) fn read_head<R>(reader: &mut R) -> std::io::Result<(String, BTreeMap<String, String>)>
where
    R: BufRead,
{
    let start_line = read_head_line(reader)?;
    let mut headers = BTreeMap::new();
    loop {
        match read_head_line(reader)?.split_once(':') {
            Some((name, value)) => {
                headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
            }
            None => return Ok((start_line, headers)),
        }
    }
}

/// Reads a line of a head, without the line end. A connection that ends within the head has carried
/// no message.
fn read_head_line<R>(reader: &mut R) -> std::io::Result<String>
where
    R: BufRead,
{
    let mut line = String::new();
    reader.read_line(&mut line)?;
    match line.ends_with('\n') {
        true => Ok(line.trim_end().to_string()),
        false => Err(ErrorKind::UnexpectedEof.into()),
    }
}
