//! Crowds of callers that do not behave, and the checks of a process that they call.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

use super::memory_kibibytes;

/// Value of `limits.memory` of a process under test, in MiB. It is below that of the smallest
/// machine, which has 160 MB.
pub const MEMORY_MEBIBYTES: u64 = 96;

/// Part of the memory, in MiB, by which a process may grow for its callers. A third of the memory
/// is left for the program itself.
pub const MAX_GROWTH_MEBIBYTES: u64 = MEMORY_MEBIBYTES * 2 / 3;

/// Number of connections of a crowd.
pub const CROWD: usize = 40;

/// Number of descriptors that a process may open beside those of the crowd: for upstreams, peers,
/// logs and requests to upstreams.
const MAX_OTHER_DESCRIPTORS: usize = CROWD + 24;

/// Size of a legal body, below the limit of 4 MiB.
const BODY_BYTES: usize = 3_900_000;

/// Size of a body that is far over the limit.
const OVERSIZED_BYTES: usize = 32 << 20;

/// Number of requests with a whole body that each connection sends.
const BODIES_PER_CONNECTION: usize = 3;

/// Number of requests that each connection pipelines.
const PIPELINED_REQUESTS: usize = 10_000;

/// Time after which a caller gives up a write or a read that makes no progress.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time that a crowd has. Most crowds are done earlier.
const CROWD_TIME: Duration = Duration::from_secs(15);

/// Held by the case that is running, so that the crowd of one case neither uses the memory of
/// another one's process nor keeps its caller from an answer.
static RUNNING: Mutex<()> = Mutex::new(());

/// Returns a guard that keeps the other cases of this file waiting.
pub fn run_alone() -> MutexGuard<'static, ()> {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How each caller of a crowd misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// Sends whole bodies of legal size, one after the other, and keeps the connection open.
    WholeBodies,
    /// The same, in small pieces.
    SmallPieces,
    /// The same, in chunks.
    Chunks,
    /// Sends a body in chunks of one byte.
    OneByteChunks,
    /// Sends all of a body of legal size but the last byte.
    StopsShort,
    /// The same, in chunks.
    ChunksStopShort,
    /// Announces and sends a body far over the limit.
    Oversized,
    /// Sends a body far over the limit in chunks.
    OversizedChunks,
    /// Sends JSON with very many short messages.
    ShortMessages,
    /// Sends JSON with one message that has very many short parts.
    ShortParts,
    /// Sends a body of opening brackets.
    Brackets,
    /// Sends very many header fields.
    HeaderFields,
    /// Sends a head that never ends.
    EndlessHead,
    /// Pipelines many requests and reads no answer.
    Pipelined,
    /// Pipelines many requests and reads the answers byte by byte.
    SlowReading,
    /// Sends a body byte by byte.
    SlowSending,
    /// Stops in the middle of the head.
    HalfHead,
}

/// One of the addresses of a process, and how to send requests there.
#[derive(Clone)]
pub struct Target {
    pub address: SocketAddr,
    /// Request lines without the version: a route, a path without a route and the readiness path.
    pub lines: Vec<String>,
    /// Header lines that each request has, with their line ends.
    pub headers: String,
}

fn status_kibibytes(process: u32, field: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with(field)).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

fn descriptors(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd")).unwrap().count()
}

/// Returns a connection with a small receive buffer and small segments, for which the operating
/// system keeps a small send buffer, so that unread answers stay in the process.
fn connect(address: SocketAddr) -> Option<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
    socket.set_recv_buffer_size(4096).ok()?;
    socket.set_tcp_mss(1000).ok()?;
    socket.connect_timeout(&address.into(), STALL_TIMEOUT).ok()?;
    let stream = TcpStream::from(socket);
    stream.set_write_timeout(Some(STALL_TIMEOUT)).ok()?;
    stream.set_read_timeout(Some(STALL_TIMEOUT)).ok()?;
    Some(stream)
}

/// Returns a body of `bytes` bytes that is a chat-completions request.
fn chat_body(bytes: usize) -> Vec<u8> {
    let start = r#"{"model":"caption-small","max_tokens":1,"messages":[{"role":"user","content":""#;
    let end = r#""}]}"#;
    let text = "x".repeat(bytes - start.len() - end.len());
    format!("{start}{text}{end}").into_bytes()
}

fn messages_body(unit: &str, bytes: usize) -> Vec<u8> {
    let units = vec![unit; bytes / (unit.len() + 1)].join(",");
    format!(r#"{{"model":"caption-small","max_tokens":1,"messages":[{units}]}}"#).into_bytes()
}

fn chunk(bytes: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// Reads one answer; returns whether it is complete.
fn read_answer(stream: &mut TcpStream) -> bool {
    let mut answer = Vec::new();
    let mut block = [0; 4096];
    loop {
        if let Some(end) = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&answer[..end]).to_ascii_lowercase();
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            match length.and_then(|length| length.trim().parse::<usize>().ok()) {
                Some(length) if answer.len() >= end + 4 + length => return true,
                None if answer.ends_with(b"0\r\n\r\n") => return true,
                _ => {}
            }
        }
        match stream.read(&mut block) {
            Ok(0) | Err(_) => return false,
            Ok(length) => answer.extend_from_slice(&block[..length]),
        }
    }
}

impl Target {
    fn head(&self, number: usize, body: &str) -> String {
        let line = &self.lines[number % self.lines.len()];
        format!("{line} HTTP/1.1\r\nHost: api.example\r\n{}{body}\r\n", self.headers)
    }

    fn head_with_length(&self, number: usize, length: usize) -> Vec<u8> {
        self.head(number, &format!("Content-Length: {length}\r\n")).into_bytes()
    }

    fn chunked_head(&self, number: usize) -> Vec<u8> {
        self.head(number, "Transfer-Encoding: chunked\r\n").into_bytes()
    }

    /// Sends bodies one after the other on one connection, each once the last one is answered.
    fn send_bodies(
        &self,
        stream: &mut TcpStream,
        number: usize,
        body: &[u8],
        piece: usize,
    ) -> std::io::Result<()> {
        for round in 0..BODIES_PER_CONNECTION {
            stream.write_all(&self.head_with_length(number + round, body.len()))?;
            for piece in body.chunks(piece) {
                stream.write_all(piece)?;
            }
            if !read_answer(stream) {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Plays one caller; an error ends it, since a misbehaving caller may be refused.
    fn play(
        &self,
        shape: Shape,
        number: usize,
        stream: &mut TcpStream,
        until: Instant,
    ) -> std::io::Result<()> {
        match shape {
            Shape::WholeBodies => {
                self.send_bodies(stream, number, &chat_body(BODY_BYTES), BODY_BYTES)
            }
            Shape::SmallPieces => self.send_bodies(stream, number, &chat_body(BODY_BYTES), 700),
            Shape::ShortMessages => {
                let body = messages_body(r#"{"role":"user","content":"x"}"#, BODY_BYTES - 64);
                self.send_bodies(stream, number, &body, BODY_BYTES)
            }
            Shape::ShortParts => {
                let part = vec![r#"{"a":1}"#; (BODY_BYTES - 128) / 8].join(",");
                let unit = format!(r#"{{"role":"user","content":[{part}]}}"#);
                let body = messages_body(&unit, unit.len() + 1);
                self.send_bodies(stream, number, &body, BODY_BYTES)
            }
            Shape::Brackets => self.send_bodies(stream, number, &[b'['; 3_000_000], 3_000_000),
            Shape::Chunks => {
                for round in 0..BODIES_PER_CONNECTION {
                    stream.write_all(&self.chunked_head(number + round))?;
                    for piece in chat_body(BODY_BYTES).chunks(32 << 10) {
                        stream.write_all(&chunk(piece))?;
                    }
                    stream.write_all(b"0\r\n\r\n")?;
                    if !read_answer(stream) {
                        break;
                    }
                }
                Ok(())
            }
            Shape::OneByteChunks => {
                stream.write_all(&self.chunked_head(number))?;
                let block = chunk(b"x").repeat(4096);
                for _ in 0..20 {
                    stream.write_all(&block)?;
                }
                Ok(())
            }
            Shape::StopsShort => {
                stream.write_all(&self.head_with_length(number, BODY_BYTES))?;
                stream.write_all(&chat_body(BODY_BYTES)[..BODY_BYTES - 1])
            }
            Shape::ChunksStopShort => {
                stream.write_all(&self.chunked_head(number))?;
                for piece in chat_body(BODY_BYTES).chunks(32 << 10) {
                    stream.write_all(&chunk(piece))?;
                }
                Ok(())
            }
            Shape::Oversized => {
                stream.write_all(&self.head_with_length(number, OVERSIZED_BYTES))?;
                let block = vec![b'x'; 64 << 10];
                (0..OVERSIZED_BYTES / block.len()).try_for_each(|_| stream.write_all(&block))
            }
            Shape::OversizedChunks => {
                stream.write_all(&self.chunked_head(number))?;
                let block = chunk(&vec![b'x'; 64 << 10]);
                (0..OVERSIZED_BYTES / block.len()).try_for_each(|_| stream.write_all(&block))
            }
            Shape::HeaderFields => {
                for round in 0..BODIES_PER_CONNECTION {
                    let fields: String =
                        (0..1500).map(|field| format!("a{field}: b\r\n")).collect();
                    stream.write_all(self.head(number + round, &fields).as_bytes())?;
                    if !read_answer(stream) {
                        break;
                    }
                }
                Ok(())
            }
            Shape::EndlessHead => {
                let head = self.head(number, "a: ");
                stream.write_all(head.trim_end().as_bytes())?;
                let block = vec![b'x'; 64 << 10];
                (0..OVERSIZED_BYTES / block.len()).try_for_each(|_| stream.write_all(&block))
            }
            Shape::Pipelined | Shape::SlowReading => {
                stream.set_nonblocking(true)?;
                let request = self.head_with_length(number, 0);
                let bytes = request.repeat(PIPELINED_REQUESTS);
                let (mut sent, mut progress_at) = (0, Instant::now());
                while sent < bytes.len() && Instant::now() < until {
                    match stream.write(&bytes[sent..]) {
                        Ok(length) => (sent, progress_at) = (sent + length, Instant::now()),
                        Err(error) if error.kind() == ErrorKind::WouldBlock => {
                            if progress_at.elapsed() > STALL_TIMEOUT {
                                break;
                            }
                            if shape == Shape::SlowReading {
                                let _ = stream.read(&mut [0]);
                            }
                            std::thread::sleep(Duration::from_millis(5));
                        }
                        Err(error) => return Err(error),
                    }
                }
                Ok(())
            }
            Shape::SlowSending => {
                stream.write_all(&self.head_with_length(number, BODY_BYTES))?;
                let started_at = Instant::now();
                while started_at.elapsed() < STALL_TIMEOUT * 2 {
                    stream.write_all(b"x")?;
                    std::thread::sleep(Duration::from_millis(5));
                }
                Ok(())
            }
            Shape::HalfHead => {
                let head = self.head(number, "a: b\r\n");
                stream.write_all(&head.as_bytes()[..head.len() / 2])
            }
        }
    }
}

/// Plays a crowd of [`CROWD`] callers of `shape` at `target`, and keeps their connections open
/// while `call_as_usual` calls the process. Checks that the process lives and stays within its
/// memory and descriptors, and prints what was seen.
pub fn assert_survives(process: u32, target: &Target, shape: Shape, call_as_usual: impl FnOnce()) {
    let before = memory_kibibytes(process);
    let descriptors_before = descriptors(process);
    let until = Instant::now() + CROWD_TIME;
    let running = Arc::new(AtomicUsize::new(CROWD));
    let callers: Vec<_> = (0..CROWD)
        .map(|number| {
            let (target, running) = (target.clone(), running.clone());
            std::thread::spawn(move || {
                let mut stream = connect(target.address);
                if let Some(stream) = &mut stream {
                    let _ = target.play(shape, number, stream, until);
                }
                running.fetch_sub(1, Ordering::Relaxed);
                stream
            })
        })
        .collect();
    let mut most_descriptors = 0;
    while running.load(Ordering::Relaxed) > 0 {
        assert!(is_alive(process), "{shape:?}: the process has ended");
        most_descriptors = descriptors(process).max(most_descriptors);
        std::thread::sleep(Duration::from_millis(20));
    }
    let streams: Vec<Option<TcpStream>> =
        callers.into_iter().map(|caller| caller.join().unwrap()).collect();
    assert!(is_alive(process), "{shape:?}: the process has ended");
    let growth = || status_kibibytes(process, "VmHWM:").saturating_sub(before);
    let place = &target.lines[0];
    println!("{shape:?} at {place}: {} KiB and {most_descriptors} descriptors", growth());
    call_as_usual();
    assert!(is_alive(process), "{shape:?}: the process has ended");
    let growth_kibibytes = growth();
    println!("{shape:?} at {place}: {growth_kibibytes} KiB more after an ordinary request");
    assert!(
        growth_kibibytes <= MAX_GROWTH_MEBIBYTES * 1024,
        "{shape:?}: the process grew by {growth_kibibytes} KiB; {MAX_GROWTH_MEBIBYTES} MiB allowed"
    );
    let allowed = descriptors_before + CROWD + MAX_OTHER_DESCRIPTORS;
    assert!(most_descriptors <= allowed, "{shape:?}: {most_descriptors} descriptors");
    drop(streams);
}

/// Returns whether the process runs. A process that has ended has no memory map any more.
fn is_alive(process: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    status.contains("VmHWM:")
}
