//! A small HTTP/1.1 client that tells a whole answer from a broken one.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Its length or its last chunk arrived.
    Whole,
    /// It has neither, and the connection was closed.
    Closed,
    /// The connection ended, or the client gave up, before the end that the head announces.
    Broken,
}

#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub end: End,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// A connection that is kept open between requests.
pub struct Channel {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

pub fn request(method: &str, path: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" || method == "PUT" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    [text.as_bytes(), body].concat()
}

impl Channel {
    pub fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, buffer: Vec::new() })
    }

    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads more bytes. Returns false at the end of the stream.
    fn fill(&mut self, until: Instant, pace: Option<Pace>) -> std::io::Result<bool> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(std::io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut bytes = vec![0; pace.map_or(65536, |pace| pace.bytes)];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        if let Some(pace) = pace {
            std::thread::sleep(pace.pause);
        }
        Ok(count > 0)
    }

    fn line(&mut self, until: Instant, pace: Option<Pace>) -> std::io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if !self.fill(until, pace)? {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads one answer. An error means that not even a head arrived.
    pub fn answer(&mut self, timeout: Duration, pace: Option<Pace>) -> std::io::Result<Answer> {
        let until = Instant::now() + timeout;
        let status_line = self.line(until, pace)?;
        let status = status_line.split(' ').nth(1).and_then(|text| text.parse().ok());
        let status = status.ok_or(std::io::ErrorKind::InvalidData)?;
        let mut headers = Vec::new();
        loop {
            let line = self.line(until, pace)?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').unwrap_or((&line, ""));
            headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
        let mut answer = Answer { status, headers, body: Vec::new(), end: End::Broken };
        let is_chunked = answer.header("transfer-encoding") == Some("chunked");
        let length = answer.header("content-length").and_then(|text| text.parse::<usize>().ok());
        let end = match (is_chunked, length) {
            (true, _) => self.chunks(&mut answer.body, until, pace),
            (false, Some(length)) => self.exactly(length, &mut answer.body, until, pace),
            (false, None) => self.until_close(&mut answer.body, until, pace),
        };
        answer.end = end.unwrap_or(End::Broken);
        Ok(answer)
    }

    fn exactly(
        &mut self,
        length: usize,
        body: &mut Vec<u8>,
        until: Instant,
        pace: Option<Pace>,
    ) -> std::io::Result<End> {
        let target = body.len() + length;
        loop {
            let count = self.buffer.len().min(target - body.len());
            body.extend(self.buffer.drain(..count));
            if body.len() == target {
                return Ok(End::Whole);
            }
            if !self.fill(until, pace)? {
                return Ok(End::Broken);
            }
        }
    }

    fn chunks(
        &mut self,
        body: &mut Vec<u8>,
        until: Instant,
        pace: Option<Pace>,
    ) -> std::io::Result<End> {
        loop {
            let line = self.line(until, pace)?;
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidData))?;
            if size == 0 {
                self.line(until, pace)?;
                return Ok(End::Whole);
            }
            if self.exactly(size, body, until, pace)? == End::Broken {
                return Ok(End::Broken);
            }
            self.line(until, pace)?;
        }
    }

    fn until_close(
        &mut self,
        body: &mut Vec<u8>,
        until: Instant,
        pace: Option<Pace>,
    ) -> std::io::Result<End> {
        loop {
            body.append(&mut self.buffer);
            if !self.fill(until, pace)? {
                return Ok(End::Closed);
            }
        }
    }
}

/// How fast a client reads: at most `bytes` at a time, with a pause after each.
#[derive(Clone, Copy)]
pub struct Pace {
    pub bytes: usize,
    pub pause: Duration,
}

/// Sends one request on a new connection and reads its answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> std::io::Result<Answer> {
    let mut channel = Channel::open(address)?;
    channel.send(&request(method, path, headers, body))?;
    channel.answer(timeout, None)
}
