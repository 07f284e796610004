//! Stand-in for an upstream of the users' platform.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

use serde_json::json;

use super::bind_tcp_and_udp;
use super::http::read_head;
pub use super::http::{
    HttpResponse, read_attempt, read_response, send_request, send_request_with_timeout,
};
use super::script::{self, End, Script, ScriptedRequest, reset_on_close};

/// Interval between announcements of an upstream.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(300);

/// Data centre of an upstream that is started without one.
const DEFAULT_DATA_CENTRE: &str = "giza";

/// Number of events in a complete stream.
pub const EVENTS_PER_STREAM: usize = 12;

/// Interval between events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(15);

/// Interval between events of an upstream that is slow but works.
const SLOW_EVENT_INTERVAL: Duration = Duration::from_millis(350);

/// Time for which an upstream pauses that is sound and goes on.
const PAUSE: Duration = Duration::from_millis(1500);

/// Interval between bytes of an endless answer after its beginning.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(300);

/// Time without any bytes after which an upstream has read the rest of a request.
const READ_REST_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval between bytes of an upstream whose stream has stalled.
const STALL_BYTE_INTERVAL: Duration = Duration::from_millis(100);

/// How an upstream handles requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers each request.
    Answer,
    /// Closes the connection in the middle of an event, after this many events of one response.
    BreakAfter(usize),
    /// Stalls after this many events of one response: sends an endless comment, one byte at a time.
    Stall(usize),
    /// Sends all events, with a long interval between them.
    SlowEvents,
    /// Reads the body of each request only after this time in milliseconds, and answers then.
    ReadLate(u64),
    /// Sends all events, with this interval in milliseconds between them.
    EventsEvery(u64),
    /// Sends all events like [`Behaviour::EventsEvery`], without having read the body of the request.
    UnreadEventsEvery(u64),
    /// Answers each request without having read its body. Only scripts tell what happens to the rest.
    Unread,
    /// Sends nothing for a while after this many events of one response, or before the answer of a
    /// service without engines, and then goes on.
    Pause(usize),
    /// Sends the first text and then repeats the second text until the client closes the
    /// connection.
    Endless(&'static str, &'static str),
    /// Sends the text and then as many bytes, and after that a byte now and then until the client
    /// closes the connection.
    Trickle(&'static str, usize),
    /// Sends the first text, or the second text if the request resumes a stream, and closes the
    /// connection.
    Raw(&'static str, &'static str),
    /// Executes the request, then closes the connection without an answer.
    LoseAnswer,
    /// Refuses the request and states that it was not executed.
    Refuse,
    /// Refuses the request as `Refuse` does, after 600 ms.
    RefuseLate,
    /// Executes the request and answers with status 500.
    Fail,
    /// Executes the request and sends no answer; the connection closes after 30 s.
    Silent,
    /// Executes the request and answers after 500 ms.
    Slow,
    /// Answers as an upstream other than the addressee of the request.
    Misdirect,
    /// Ends the upstream as it begins the answer to a request with a part in its prompt that begins
    /// with this text, unless it is the last part.
    CrashOn(&'static str),
    /// As `CrashOn`, if the last part of the prompt begins with this text.
    CrashOnLast(&'static str),
}

/// A request that an upstream received or executed.
#[derive(Debug, Clone)]
pub struct ExecutedRequest {
    /// Value of the header `request-id`.
    pub request: String,
    pub headers: BTreeMap<String, String>,
    pub path: String,
    pub body: Vec<u8>,
    pub at: Instant,
}

/// Function that answers requests, or leaves them to the behaviour of the upstream.
type Answers = dyn Fn(&ScriptedRequest<'_>) -> Option<Script> + Send + Sync;

/// State that the threads of an upstream share.
struct WorkerState {
    name: String,
    service: String,
    data_centre: String,
    address: SocketAddr,
    behaviour: Mutex<Behaviour>,
    script: Mutex<Option<Arc<Answers>>>,
    /// Header lines that are added to every answer.
    extra_headers: Mutex<String>,
    /// Requests that arrived, including those that were refused.
    received_requests: Mutex<Vec<ExecutedRequest>>,
    announced_state: Mutex<&'static str>,
    executed_requests: Mutex<Vec<ExecutedRequest>>,
    sequence: AtomicU64,
    started_at_millis: u64,
    /// Time until which the upstream announces that it is cold.
    cold_until: Mutex<Option<Instant>>,
    is_stopped: AtomicBool,
    /// Whether the upstream serves requests but no longer announces itself.
    is_unannounced: AtomicBool,
    /// Whether new connections are refused.
    is_listener_closed: AtomicBool,
    /// Whether new connections are not accepted.
    is_hanging: AtomicBool,
    /// Connections that fill the queue of the listener.
    waiting_connections: Mutex<Vec<TcpStream>>,
    /// Time at which the upstream ended by itself.
    crashed_at: Mutex<Option<Instant>>,
    connections: Mutex<Vec<Weak<TcpStream>>>,
    control_addresses: Vec<SocketAddr>,
}

/// A running upstream; it stops when it is dropped.
pub struct Worker {
    shared: Arc<WorkerState>,
}

impl Worker {
    /// Starts an upstream that announces itself to `control_addresses`.
    pub fn start(name: &str, service: &str, control_addresses: Vec<SocketAddr>) -> Self {
        Self::start_advertising(name, service, control_addresses, |address| address)
    }

    /// Starts an upstream that announces the address that `advertise` returns for its own listening
    /// address.
    pub fn start_advertising<F>(
        name: &str,
        service: &str,
        control_addresses: Vec<SocketAddr>,
        advertise: F,
    ) -> Self
    where
        F: FnOnce(SocketAddr) -> SocketAddr,
    {
        let (listener, _) = bind_tcp_and_udp();
        let address = advertise(listener.local_addr().unwrap());
        let origin = (name, service, DEFAULT_DATA_CENTRE);
        Self::start_with_listener(origin, control_addresses, address, listener, None)
    }

    /// Starts an upstream in `data_centre`.
    pub fn start_in(
        data_centre: &str,
        name: &str,
        service: &str,
        control_addresses: Vec<SocketAddr>,
    ) -> Self {
        let (listener, _) = bind_tcp_and_udp();
        let address = listener.local_addr().unwrap();
        let origin = (name, service, data_centre);
        Self::start_with_listener(origin, control_addresses, address, listener, None)
    }

    /// Starts an upstream that announces from its start on that it is cold for `time`.
    pub fn start_cold(
        name: &str,
        service: &str,
        control_addresses: Vec<SocketAddr>,
        time: Duration,
    ) -> Self {
        let (listener, _) = bind_tcp_and_udp();
        let (address, until) = (listener.local_addr().unwrap(), Some(Instant::now() + time));
        let origin = (name, service, DEFAULT_DATA_CENTRE);
        Self::start_with_listener(origin, control_addresses, address, listener, until)
    }

    /// Starts an upstream at the address of one that has ended.
    pub fn start_at(
        name: &str,
        service: &str,
        control_addresses: Vec<SocketAddr>,
        address: SocketAddr,
    ) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        let origin = (name, service, DEFAULT_DATA_CENTRE);
        Self::start_with_listener(origin, control_addresses, address, listener, None)
    }

    fn start_with_listener(
        (name, service, data_centre): (&str, &str, &str),
        control_addresses: Vec<SocketAddr>,
        address: SocketAddr,
        listener: TcpListener,
        cold_until: Option<Instant>,
    ) -> Self {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        let shared = Arc::new(WorkerState {
            name: name.to_string(),
            service: service.to_string(),
            data_centre: data_centre.to_string(),
            address,
            behaviour: Mutex::new(Behaviour::Answer),
            script: Mutex::default(),
            extra_headers: Mutex::default(),
            received_requests: Mutex::default(),
            announced_state: Mutex::new("ready"),
            executed_requests: Mutex::default(),
            sequence: AtomicU64::new(0),
            started_at_millis: now.as_millis() as u64,
            cold_until: Mutex::new(cold_until),
            is_stopped: AtomicBool::new(false),
            is_unannounced: AtomicBool::new(false),
            is_listener_closed: AtomicBool::new(false),
            is_hanging: AtomicBool::new(false),
            waiting_connections: Mutex::default(),
            crashed_at: Mutex::default(),
            connections: Mutex::default(),
            control_addresses,
        });
        let accept_state = shared.clone();
        std::thread::spawn(move || {
            accept_connections(&accept_state, &listener);
            drop(listener);
            accept_state.is_listener_closed.store(true, Ordering::Relaxed);
        });
        let announce_state = shared.clone();
        std::thread::spawn(move || {
            while !announce_state.is_stopped.load(Ordering::Relaxed) {
                if !announce_state.is_unannounced.load(Ordering::Relaxed) {
                    announce(&announce_state);
                }
                std::thread::sleep(ANNOUNCEMENT_INTERVAL);
            }
        });
        Self { shared }
    }

    /// Changes how the upstream handles requests from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.shared.behaviour.lock().unwrap() = behaviour;
    }

    /// Makes the upstream announce from now on that it is cold for `time`.
    pub fn set_cold(&self, time: Duration) {
        *self.shared.cold_until.lock().unwrap() = Some(Instant::now() + time);
    }

    /// Answers requests with `answers` from now on, as far as it returns an answer.
    pub fn set_script<F>(&self, answers: F)
    where
        F: Fn(&ScriptedRequest<'_>) -> Option<Script> + Send + Sync + 'static,
    {
        *self.shared.script.lock().unwrap() = Some(Arc::new(answers));
    }

    /// Sets the headers that the upstream adds to every answer from now on.
    pub fn set_extra_headers(&self, headers: &[(&str, &str)]) {
        let lines = headers.iter().map(|(name, value)| format!("{name}: {value}\r\n"));
        *self.shared.extra_headers.lock().unwrap() = lines.collect();
    }

    /// Returns the times at which requests arrived, including those that were refused.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.received_requests().into_iter().map(|request| request.at).collect()
    }

    /// Returns all requests that arrived, including those that were refused.
    pub fn received_requests(&self) -> Vec<ExecutedRequest> {
        self.shared.received_requests.lock().unwrap().clone()
    }

    /// Forgets the requests that arrived so far.
    pub fn forget_requests(&self) {
        self.shared.received_requests.lock().unwrap().clear();
        self.shared.executed_requests.lock().unwrap().clear();
    }

    /// Returns all requests that the upstream has executed.
    pub fn executed_requests(&self) -> Vec<ExecutedRequest> {
        self.shared.executed_requests.lock().unwrap().clone()
    }

    pub fn name(&self) -> &str {
        &self.shared.name
    }

    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns the time at which the upstream ended by itself, if it did.
    pub fn crashed_at(&self) -> Option<Instant> {
        *self.shared.crashed_at.lock().unwrap()
    }

    /// Ends the upstream: closes all connections, stops announcements, and refuses connections.
    pub fn end(&self) {
        end(&self.shared);
    }

    /// Stops announcements and accepts no new connections, as after a crash; open connections stay
    /// open.
    pub fn crash(&self) {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
    }

    /// Stops announcements. The upstream continues to serve requests.
    pub fn stop_announcing(&self) {
        self.shared.is_unannounced.store(true, Ordering::Relaxed);
    }

    /// Returns the body of an announcement in `state` that takes precedence over all earlier ones.
    pub fn announcement(&self, state: &str) -> String {
        announcement(&self.shared, state).1
    }

    /// Announces that the upstream drains; returns whether a control instance acknowledged it.
    pub fn drain(&self) -> bool {
        *self.shared.announced_state.lock().unwrap() = "draining";
        announce(&self.shared)
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
    }
}

/// Ends an upstream as a crash of its process does.
fn end(shared: &WorkerState) {
    shared.crashed_at.lock().unwrap().get_or_insert(Instant::now());
    shared.is_stopped.store(true, Ordering::Relaxed);
    let connections = shared.connections.lock().unwrap();
    for connection in connections.iter().filter_map(Weak::upgrade) {
        let _ = connection.shutdown(Shutdown::Both);
    }
}

/// Ends an upstream as a crash of its process does that leaves received bytes unread: all of its
/// connections are reset.
fn end_with_resets(shared: &WorkerState) {
    shared.crashed_at.lock().unwrap().get_or_insert(Instant::now());
    let connections = shared.connections.lock().unwrap();
    for connection in connections.iter().filter_map(Weak::upgrade) {
        reset_on_close(&connection);
        // Ends the thread of the connection, which closes it.
        let _ = connection.shutdown(Shutdown::Read);
    }
}

/// Returns whether a part of the prompt of a request that is not the last one begins with `beginning`.
fn has_part(request: &Request, beginning: &str) -> bool {
    let prompt = request.headers.get("prompt-prefix").map_or("", String::as_str);
    let parts: Vec<&str> =
        prompt.split(',').map(|part| part.split(':').next().unwrap_or_default()).collect();
    parts.iter().rev().skip(1).any(|part| part.starts_with(beginning))
}

/// Returns whether the last part of the prompt of a request begins with `beginning`.
fn has_last_part(request: &Request, beginning: &str) -> bool {
    let prompt = request.headers.get("prompt-prefix").map_or("", String::as_str);
    prompt.rsplit(',').next().is_some_and(|part| part.starts_with(beginning))
}

/// Returns the sequence number and the body of the next announcement.
fn announcement(shared: &WorkerState, state: &str) -> (u64, String) {
    let sequence = shared.sequence.fetch_add(1, Ordering::Relaxed) + 1;
    let cold_until = *shared.cold_until.lock().unwrap();
    let cold =
        cold_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()));
    let body = json!({
        "service": shared.service, "address": shared.address.to_string(),
        "zone": shared.data_centre, "version": "v1", "slots": 8, "state": state,
        "cold-remaining-ms": cold.as_millis() as u64, "seq": sequence,
        "born": shared.started_at_millis,
    });
    (sequence, body.to_string())
}

/// Announces the upstream to the control instances in turn until one of them acknowledges; returns
/// whether one did.
fn announce(shared: &WorkerState) -> bool {
    let state = *shared.announced_state.lock().unwrap();
    let (sequence, body) = announcement(shared, state);
    let path = format!("/v1/workers/{}", shared.name);
    // A control instance that is down or frozen is skipped, as upstreams of the platform do.
    let mut control_addresses = shared.control_addresses.clone();
    let first = (sequence % control_addresses.len() as u64) as usize;
    control_addresses.rotate_left(first);
    control_addresses.into_iter().any(|control| {
        let answer = send_request_with_timeout(control, "PUT", &path, &[], &body, 1);
        answer.is_ok_and(|answer| answer.status == 200)
    })
}

fn accept_connections(shared: &Arc<WorkerState>, listener: &TcpListener) {
    listener.set_nonblocking(true).unwrap();
    while !shared.is_stopped.load(Ordering::Relaxed) {
        if shared.is_hanging.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(2));
            continue;
        }
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                let held = Arc::new(stream.try_clone().unwrap());
                shared.connections.lock().unwrap().push(Arc::downgrade(&held));
                let shared = shared.clone();
                std::thread::spawn(move || {
                    serve_connection(&shared, stream);
                    drop(held);
                });
            }
            Err(_) => std::thread::sleep(Duration::from_millis(2)),
        }
    }
}

/// A request received from an instance.
struct Request {
    path: String,
    headers: BTreeMap<String, String>,
    body: Vec<u8>,
}

fn read_request(
    shared: &WorkerState,
    reader: &mut BufReader<TcpStream>,
) -> std::io::Result<Request> {
    let (start_line, headers) = read_head(reader)?;
    let behaviour = *shared.behaviour.lock().unwrap();
    if let Behaviour::ReadLate(millis) = behaviour {
        std::thread::sleep(Duration::from_millis(millis));
    }
    let length = headers.get("content-length").map_or(0, |length| length.parse().unwrap());
    let mut body = vec![0; length];
    if !matches!(behaviour, Behaviour::UnreadEventsEvery(_) | Behaviour::Unread) {
        reader.read_exact(&mut body)?;
    }
    let path = start_line.split(' ').nth(1).unwrap_or_default().to_string();
    Ok(Request { path, headers, body })
}

fn serve_connection(shared: &Arc<WorkerState>, stream: TcpStream) {
    stream.set_nodelay(true).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut writer = stream;
    while let Ok(request) = read_request(shared, &mut reader) {
        if respond(shared, &request, &mut writer).is_err() {
            return;
        }
    }
}

fn respond(shared: &WorkerState, request: &Request, writer: &mut TcpStream) -> std::io::Result<()> {
    let id = request.headers.get("request-id").cloned().unwrap_or_default();
    let behaviour = *shared.behaviour.lock().unwrap();
    let extra_headers = shared.extra_headers.lock().unwrap().clone();
    let received = ExecutedRequest {
        request: id.clone(),
        headers: request.headers.clone(),
        path: request.path.clone(),
        body: request.body.clone(),
        at: Instant::now(),
    };
    shared.received_requests.lock().unwrap().push(received.clone());
    let is_addressee =
        request.headers.get("expect-instance").is_none_or(|name| *name == shared.name);
    if behaviour == Behaviour::Misdirect || !is_addressee {
        return write!(
            writer,
            "HTTP/1.1 421 Misdirected Request\r\nrequest-id: {id}\r\n\
             instance-id: i-other\r\n{extra_headers}content-length: 0\r\n\r\n"
        );
    }
    if behaviour == Behaviour::RefuseLate {
        std::thread::sleep(Duration::from_millis(600));
    }
    if matches!(behaviour, Behaviour::Refuse | Behaviour::RefuseLate) {
        return write!(
            writer,
            "HTTP/1.1 503 Service Unavailable\r\nrequest-id: {id}\r\nnot-executed: 1\r\n\
             {extra_headers}content-length: 0\r\n\r\n"
        );
    }
    let executed = ExecutedRequest { at: Instant::now(), ..received };
    shared.executed_requests.lock().unwrap().push(executed);
    let answers = shared.script.lock().unwrap().clone();
    let scripted = ScriptedRequest {
        id: &id,
        path: &request.path,
        last_event_id: request.headers.get("last-event-id").map(String::as_str),
        headers: &request.headers,
        body: &request.body,
    };
    let script = answers.and_then(|answers| answers(&scripted));
    if shared.crashed_at.lock().unwrap().is_some() {
        return Err(ErrorKind::ConnectionAborted.into());
    }
    if let Some(script) = script {
        return perform(shared, &id, &script, writer);
    }
    if behaviour == Behaviour::Slow {
        std::thread::sleep(Duration::from_millis(500));
    }
    if matches!(behaviour, Behaviour::Pause(_)) && shared.service != "engines" {
        std::thread::sleep(PAUSE);
    }
    match behaviour {
        Behaviour::Endless(prefix, unit) => send_endless(writer, &id, prefix, unit),
        Behaviour::Trickle(prefix, bytes) => send_trickle(writer, &id, prefix, bytes),
        Behaviour::Raw(first, resumed) => {
            let is_resumed = request.headers.contains_key("last-event-id");
            let text = if is_resumed { resumed } else { first };
            writer.write_all(text.replace("ID", &id).as_bytes())?;
            Err(ErrorKind::ConnectionAborted.into())
        }
        Behaviour::LoseAnswer => Err(ErrorKind::ConnectionAborted.into()),
        Behaviour::Silent => {
            std::thread::sleep(Duration::from_secs(30));
            Err(ErrorKind::TimedOut.into())
        }
        Behaviour::Fail => write!(
            writer,
            "HTTP/1.1 500 Internal Server Error\r\nrequest-id: {id}\r\n\
             server-stamp: {}\r\n{extra_headers}content-length: 4\r\n\r\noops",
            shared.name
        ),
        _ if shared.service == "engines" => {
            send_events(shared, request, &extra_headers, behaviour, writer)
        }
        _ => {
            let body = format!("{} ran {}", shared.name, request.path);
            write!(
                writer,
                "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-stamp: {}\r\n\
                 server-load: 1,0,8\r\n{extra_headers}content-length: {}\r\n\r\n{body}",
                shared.name,
                body.len()
            )
        }
    }
}

/// Sends a scripted answer and does with the connection what the script says.
fn perform(
    shared: &WorkerState,
    id: &str,
    script: &Script,
    writer: &mut TcpStream,
) -> std::io::Result<()> {
    if script.end == End::CloseAndHang {
        shared.is_hanging.store(true, Ordering::Relaxed);
        *shared.waiting_connections.lock().unwrap() = script::fill_queue(shared.address);
    }
    if let Some(arrival) = script.arrival {
        let text = String::from_utf8_lossy(&script.bytes).replace("ID", id);
        script::send_text(writer, &text, arrival)?;
        return end_answer(shared, script.end, writer);
    }
    let (head, body) = script.bytes.split_at(script.head_length());
    writer.write_all(String::from_utf8_lossy(head).replace("ID", id).as_bytes())?;
    let (first, rest) = body.split_at(script.pause_at.unwrap_or(body.len()));
    writer.write_all(first)?;
    if !rest.is_empty() {
        std::thread::sleep(script::PAUSE);
        writer.write_all(rest)?;
    }
    end_answer(shared, script.end, writer)
}

/// Does with the connection what follows the bytes of a scripted answer.
fn end_answer(
    shared: &WorkerState,
    end_of_answer: End,
    writer: &mut TcpStream,
) -> std::io::Result<()> {
    match end_of_answer {
        End::KeepOpen => return Ok(()),
        End::Close | End::CloseAndHang => {}
        End::Reset => reset_on_close(writer),
        End::CloseThenReset => {
            writer.shutdown(Shutdown::Write)?;
            std::thread::sleep(script::PAUSE);
            reset_on_close(writer);
        }
        End::CloseThenRead => {
            writer.shutdown(Shutdown::Write)?;
            script::read_rest(writer, READ_REST_TIMEOUT);
        }
        End::ReadThenClose => script::read_rest(writer, READ_REST_TIMEOUT),
        End::Crash | End::CrashWithResets => {
            shared.is_stopped.store(true, Ordering::Relaxed);
            while !shared.is_listener_closed.load(Ordering::Relaxed) {
                std::thread::sleep(Duration::from_millis(1));
            }
            match end_of_answer {
                End::CrashWithResets => end_with_resets(shared),
                _ => end(shared),
            }
        }
    }
    Err(ErrorKind::ConnectionAborted.into())
}

/// Returns the event `number` of the stream that answers the request `request_id`.
pub fn event(request_id: &str, number: usize) -> String {
    format!("id: {number}\ndata: {request_id} part {number}\n\n")
}

/// Returns the complete stream that answers the request `request_id`.
pub fn complete_stream(request_id: &str) -> String {
    (1..=EVENTS_PER_STREAM).map(|number| event(request_id, number)).collect()
}

/// Sends the event stream that answers a request, from the event after `last-event-id`.
fn send_events(
    shared: &WorkerState,
    request: &Request,
    extra_headers: &str,
    behaviour: Behaviour,
    writer: &mut TcpStream,
) -> std::io::Result<()> {
    let request_id = request.headers.get("request-id").map_or("", String::as_str);
    write!(
        writer,
        "HTTP/1.1 200 OK\r\nrequest-id: {request_id}\r\nserver-stamp: {}\r\n\
         content-type: text/event-stream\r\n{extra_headers}transfer-encoding: chunked\r\n\r\n",
        shared.name
    )?;
    let is_crash = match behaviour {
        Behaviour::CrashOn(part) => has_part(request, part),
        Behaviour::CrashOnLast(part) => has_last_part(request, part),
        _ => false,
    };
    if is_crash {
        end(shared);
        return Err(ErrorKind::ConnectionAborted.into());
    }
    let last_event: usize =
        request.headers.get("last-event-id").map_or(0, |last| last.parse().unwrap());
    for number in last_event + 1..=EVENTS_PER_STREAM {
        let text = event(request_id, number);
        if behaviour == Behaviour::BreakAfter(number - last_event - 1) {
            let partial_event = &text[..text.len() / 2];
            write!(writer, "{:x}\r\n{partial_event}\r\n", partial_event.len())?;
            return Err(ErrorKind::ConnectionAborted.into());
        }
        if behaviour == Behaviour::Stall(number - last_event - 1) {
            send_endless_comment(writer)?;
        }
        if behaviour == Behaviour::Pause(number - last_event - 1) {
            std::thread::sleep(PAUSE);
        }
        write!(writer, "{:x}\r\n{text}\r\n", text.len())?;
        std::thread::sleep(match behaviour {
            Behaviour::SlowEvents => SLOW_EVENT_INTERVAL,
            Behaviour::EventsEvery(millis) | Behaviour::UnreadEventsEvery(millis) => {
                Duration::from_millis(millis)
            }
            _ => EVENT_INTERVAL,
        });
    }
    write!(writer, "0\r\n\r\n")
}

/// Sends `prefix`, with `ID` replaced by the id of the request, and then `unit` repeatedly without
/// end.
fn send_endless(
    writer: &mut TcpStream,
    request_id: &str,
    prefix: &str,
    unit: &str,
) -> std::io::Result<()> {
    writer.write_all(prefix.replace("ID", request_id).as_bytes())?;
    let block = unit.repeat(4096 / unit.len() + 1);
    loop {
        writer.write_all(block.as_bytes())?;
    }
}

/// Sends `prefix`, with `ID` replaced by the id of the request, `bytes` bytes, and then one byte at
/// a time without end.
fn send_trickle(
    writer: &mut TcpStream,
    request_id: &str,
    prefix: &str,
    bytes: usize,
) -> std::io::Result<()> {
    writer.write_all(prefix.replace("ID", request_id).as_bytes())?;
    writer.write_all(&vec![b'x'; bytes])?;
    loop {
        std::thread::sleep(TRICKLE_INTERVAL);
        writer.write_all(b"x")?;
    }
}

/// Sends an endless comment line of the event stream, one byte at a time.
fn send_endless_comment(writer: &mut TcpStream) -> std::io::Result<()> {
    loop {
        write!(writer, "1\r\n:\r\n")?;
        std::thread::sleep(STALL_BYTE_INTERVAL);
    }
}
