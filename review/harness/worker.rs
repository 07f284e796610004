//! A stand-in worker. It runs as a process of its own, so that the operating system closes its
//! connections when it is killed.
//!
//! harness worker KEY=VALUE...   id, service, listen, address (that it announces), controls
//!   (comma-separated), zone, slots, mode (stream or plain), framing (chunked, length or none),
//!   pieces, gap_ms, work_ms, size, large_size, quiet_ms (before it announces itself)
//!
//! Lines on standard input: `drain` announces that the worker leaves, and all answers say so from
//! then on; `leaving` ends the announcements too, for a DELETE that the harness sends; `quiet` ends only
//! the announcements. Lines on standard output: what the worker did.

use std::collections::BTreeMap;
use std::io::{BufRead, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http;

/// Version of the weights of all engines.
const WEIGHT_VERSION: &str = "1";

struct Worker {
    options: BTreeMap<String, String>,
    controls: Vec<SocketAddr>,
    born: u64,
    sequence: AtomicU64,
    running: AtomicU64,
    is_leaving: AtomicBool,
    /// Whether it announces itself no more.
    is_quiet: AtomicBool,
}

pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

fn say(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{} {text}", unix_millis());
    let _ = out.flush();
}

pub fn run(arguments: &[String]) {
    let options: BTreeMap<String, String> = arguments
        .iter()
        .filter_map(|argument| argument.split_once('='))
        .map(|(key, value)| (key.to_string(), value.to_string()))
        .collect();
    let controls = options["controls"].split(',').map(|text| text.parse().unwrap()).collect();
    let listener = TcpListener::bind(options["listen"].as_str()).unwrap();
    let worker = Arc::new(Worker {
        options,
        controls,
        born: unix_millis(),
        sequence: AtomicU64::new(0),
        running: AtomicU64::new(0),
        is_leaving: AtomicBool::new(false),
        is_quiet: AtomicBool::new(false),
    });
    say(&format!("is born {}", worker.born));
    let announcer = worker.clone();
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(announcer.number("quiet_ms")));
        while !announcer.is_quiet.load(Ordering::SeqCst) {
            announcer.announce();
            std::thread::sleep(Duration::from_millis(1200));
        }
    });
    let commands = worker.clone();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            match line.trim() {
                "drain" => {
                    commands.is_leaving.store(true, Ordering::SeqCst);
                    let status = commands.announce();
                    say(&format!("says that it is draining: {status:?}"));
                }
                "leaving" => {
                    commands.is_quiet.store(true, Ordering::SeqCst);
                    commands.is_leaving.store(true, Ordering::SeqCst);
                }
                "quiet" => commands.is_quiet.store(true, Ordering::SeqCst),
                _ => {}
            }
        }
        // The harness has ended.
        std::process::exit(0);
    });
    for stream in listener.incoming().map_while(Result::ok) {
        let worker = worker.clone();
        std::thread::spawn(move || worker.serve(stream));
    }
}

impl Worker {
    fn number(&self, key: &str) -> u64 {
        self.options.get(key).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    fn text(&self, key: &str) -> &str {
        self.options.get(key).map_or("", String::as_str)
    }

    /// Announces itself to the first core machine that acknowledges it.
    fn announce(&self) -> Option<u16> {
        let state = match self.is_leaving.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"cold-remaining-ms\":0,\"seq\":{sequence},\"born\":{}}}",
            self.text("service"),
            self.text("address"),
            self.text("zone"),
            self.number("slots"),
            self.born
        );
        self.tell(&body)
    }

    fn tell(&self, body: &str) -> Option<u16> {
        let path = format!("/v1/workers/{}", self.text("id"));
        let headers = [("Content-Type", "application/json".to_string())];
        self.controls.iter().find_map(|control| {
            let timeout = Duration::from_secs(1);
            let answer = http::call(*control, "PUT", &path, &headers, body.as_bytes(), timeout);
            answer.ok().map(|answer| answer.status).filter(|status| *status / 100 == 2)
        })
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(head) = read_head(&mut stream, &mut buffer) {
            let length = header(&head, "content-length").and_then(|text| text.parse().ok());
            let length: usize = length.unwrap_or(0);
            while buffer.len() < length {
                if !fill(&mut stream, &mut buffer) {
                    return;
                }
            }
            buffer.drain(..length);
            if !self.respond(&mut stream, &head).unwrap_or(false) {
                return;
            }
        }
    }

    /// Answers a request. Returns whether the connection is kept.
    fn respond(&self, stream: &mut TcpStream, head: &str) -> std::io::Result<bool> {
        let id = header(head, "request-id").unwrap_or_default();
        let common = |status: &str| {
            let leaving = match self.is_leaving.load(Ordering::SeqCst) {
                true => "Server-Leaving: 1\r\n",
                false => "",
            };
            format!("HTTP/1.1 {status}\r\nRequest-Id: {id}\r\n{leaving}")
        };
        let is_other = header(head, "expect-instance").is_some_and(|name| name != self.text("id"));
        let wanted_version = header(head, "expect-version");
        if is_other || wanted_version.is_some_and(|version| version != WEIGHT_VERSION) {
            say(&format!("answers {id} with 421, version {wanted_version:?} is wanted"));
            let text = common("421 Misdirected Request") + "Content-Length: 0\r\n\r\n";
            stream.write_all(text.as_bytes())?;
            return Ok(true);
        }
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        let slots = self.number("slots");
        let result = if running > slots + 8 {
            let text =
                common("503 Service Unavailable") + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            stream.write_all(text.as_bytes()).map(|()| true)
        } else {
            let stamp = format!("{}.{:x}.{id}", self.text("id"), self.born);
            let load = format!("{},{},{slots}", running.min(slots), running.saturating_sub(slots));
            let fields = format!(
                "Server-Stamp: {stamp}\r\nServer-Load: {load}\r\nWeight-Versions: \
                 {WEIGHT_VERSION}\r\n"
            );
            say(&format!("runs {id}"));
            let result = match self.text("mode") {
                "stream" => self.stream(stream, head, id, &(common("200 OK") + &fields)),
                _ => self.plain(stream, head, id, &(common("200 OK") + &fields)),
            };
            say(&format!("ends {id}: {}", if result.is_ok() { "whole" } else { "cut off" }));
            result
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        result
    }

    fn stream(
        &self,
        stream: &mut TcpStream,
        head: &str,
        id: &str,
        fields: &str,
    ) -> std::io::Result<bool> {
        let is_chunked = self.text("framing") == "chunked";
        let framing = match is_chunked {
            true => "Transfer-Encoding: chunked\r\n",
            false => "Connection: close\r\n",
        };
        let first = header(head, "last-event-id").and_then(|text| text.parse::<u64>().ok());
        let first = first.map_or(1, |last| last + 1);
        std::thread::sleep(Duration::from_millis(self.number("work_ms")));
        let start = format!("{fields}Content-Type: text/event-stream\r\n{framing}\r\n");
        stream.write_all(start.as_bytes())?;
        for number in first..=self.number("pieces") {
            let event = format!("id: {number}\ndata: {} {id}\n\n", self.text("id"));
            let event = match is_chunked {
                true => format!("{:x}\r\n{event}\r\n", event.len()),
                false => event,
            };
            stream.write_all(event.as_bytes())?;
            say(&format!("event {number} of {id}"));
            std::thread::sleep(Duration::from_millis(self.number("gap_ms")));
        }
        if is_chunked {
            stream.write_all(b"0\r\n\r\n")?;
        }
        Ok(is_chunked)
    }

    fn plain(
        &self,
        stream: &mut TcpStream,
        head: &str,
        id: &str,
        fields: &str,
    ) -> std::io::Result<bool> {
        std::thread::sleep(Duration::from_millis(self.number("work_ms")));
        let is_large = head.lines().next().is_some_and(|line| line.contains("/large"));
        let size = self.number(if is_large { "large_size" } else { "size" }) as usize;
        let has_length = self.text("framing") != "none";
        let framing = match has_length {
            true => format!("Content-Length: {size}\r\n"),
            false => "Connection: close\r\n".to_string(),
        };
        stream.write_all(format!("{fields}{framing}\r\n").as_bytes())?;
        let body = whole_body(id, size);
        let pieces = self.number("pieces").max(1) as usize;
        for piece in body.chunks(size.div_ceil(pieces).max(1)) {
            stream.write_all(piece)?;
            std::thread::sleep(Duration::from_millis(self.number("gap_ms")));
        }
        Ok(has_length)
    }
}

/// The body of a plain answer, which names its request again and again.
pub fn whole_body(id: &str, size: usize) -> Vec<u8> {
    format!("{id} ").bytes().cycle().take(size).collect()
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
    let mut bytes = vec![0; 65536];
    match stream.read(&mut bytes) {
        Ok(count) if count > 0 => {
            buffer.extend_from_slice(&bytes[..count]);
            true
        }
        _ => false,
    }
}

fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            return Some(head);
        }
        if !fill(stream, buffer) {
            return None;
        }
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let fields = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    let mut found = fields.filter(|(key, _)| key.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.trim())
}
