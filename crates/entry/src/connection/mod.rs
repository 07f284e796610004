//! The actor that serves one connection of a caller.

mod answer;
mod closing;
mod input;
mod output;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::RngExt;
use stakker::{CX, FixedTimerKey, Fwd, at, fail, fwd_to};
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, ReadStatus, Ready, TcpStreamBuf};

use crate::body::{Body, BodyOutcome};
use crate::budget::{Budget, Reservation};
use crate::collector::Collector;
use crate::framing::Framing;
use crate::head::{Head, ParseOutcome};
use crate::memory::Hold;
use crate::output_budget::{OutputBudget, OutputReservation};
use crate::output_queue::OutputQueue;
use crate::server::{Bounds, SOCKET_PRIORITY};
use crate::{Event, Form, Method, Problem, Reply, Request, Status, Unsent};
use input::{HEAD_COPIES, REQUEST_BYTES};

/// Bytes per read from the socket.
const READ_BYTES: usize = 4096;

/// Time that a new connection has for its first request after the server started to drain.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after the last byte of output for which a connection stays open for reading. If the connection
/// were closed while bytes of the caller arrive, the operating system would send a reset and discard the
/// output that the caller has not received.
const LINGER_TIME: Duration = Duration::from_secs(5);

/// Maximum number of bytes that are read and dropped before a connection closes.
const MAX_DROPPED_BYTES: usize = 1 << 20;

/// Size, in bytes, up to which an empty buffer for input or output keeps its memory.
const KEPT_BUFFER_BYTES: usize = 4 << 10;

/// Memory, in bytes, that is reserved for each open connection: the buffer of the socket, of two
/// reads, the kept buffers, and the actor.
pub(crate) const CONNECTION_BYTES: usize = 2 * READ_BYTES + 2 * KEPT_BUFFER_BYTES;

/// Budgets of the server, of which each connection reserves a part.
#[derive(Clone)]
pub(crate) struct Budgets {
    /// Limits incomplete requests.
    pub(crate) input: Budget,
    /// Limits the answers that callers have not read.
    pub(crate) output: OutputBudget,
}

/// Memory that is reserved for a connection.
pub(crate) struct Holds {
    /// Reserved while the connection is open.
    pub(crate) buffers: Hold,
    /// For the request that is being received.
    pub(crate) input: Hold,
    /// For unsent output.
    pub(crate) output: Hold,
}

/// State of the connection.
enum Phase {
    /// Waiting for a request or receiving one. After an answer, the next request is not read before
    /// all output is sent.
    Receiving { body: Option<(Head, Body)> },
    /// Waiting for the handler's answer or sending it.
    Answering {
        id: names::Request,
        keeps_alive: bool,
        framing: Framing,
        /// Collects the answer for a caller that cannot read chunks.
        collector: Option<Collector>,
    },
    /// Waiting until the handler has counted the refusal of the request, whose answer follows.
    Refusing,
    /// Sending the remaining output before closing. Further bytes of the caller are dropped.
    Closing,
    /// All output is sent. Bytes of the caller are dropped until it closes the connection.
    Lingering,
    /// The actor stops.
    Closed,
}

/// Actor that reads requests and writes their answers, one request at a time.
pub(crate) struct Connection {
    stream: TcpStreamBuf,
    received: Vec<u8>,
    phase: Phase,
    /// The request that was read and is passed to the handler once the socket has nothing more to
    /// read. After a pause of the process, the end of the connection may follow the request.
    arrived: Option<Event>,
    deadline: Instant,
    is_read_open: bool,
    /// Whether the connection closes after the current or next answer.
    is_draining: bool,
    /// Whether no request has been received yet.
    is_new: bool,
    bounds: Rc<Cell<Bounds>>,
    form: Rc<dyn Form>,
    /// Bytes of the request that is being received.
    input: Reservation,
    /// Memory for the request that is being received.
    hold: Hold,
    /// Whether the body is not read because the memory of the process has no room for it.
    is_waiting: bool,
    /// Reserved while the connection is open.
    _buffers: Hold,
    /// Output that follows the buffer of the socket.
    queue: OutputQueue,
    /// Whether the connection is closed for writing after the output.
    ends_output: bool,
    /// Bytes of the answer that the caller has not read.
    output: OutputReservation,
    handler: Fwd<Event>,
    timer: FixedTimerKey,
    /// Time until which the caller may not have received all output.
    linger_until: Instant,
    /// Number of bytes of the caller that may still be dropped before the connection closes.
    droppable_bytes: usize,
}

impl Connection {
    pub(crate) fn init(
        cx: CX![],
        stream: TcpStream,
        bounds: Rc<Cell<Bounds>>,
        form: Rc<dyn Form>,
        (budgets, holds): (Budgets, Holds),
        handler: Fwd<Event>,
    ) -> Option<Self> {
        let displaced = fwd_to!([cx], displaced() as (()));
        let ready = fwd_to!([cx], ready() as (Ready));
        let interest = Interest::READABLE | Interest::WRITABLE;
        let source = match cx.anymap_get::<MioPoll>().add(stream, interest, SOCKET_PRIORITY, ready)
        {
            Ok(source) => source,
            Err(error) => {
                fail!(cx, error);
                return None;
            }
        };
        let mut stream = TcpStreamBuf::new();
        stream.set_nodelay(true);
        stream.init(source);
        let deadline = cx.now() + bounds.get().receive;
        let timer = at!(deadline, [cx], check_deadline());
        Some(Self {
            stream,
            received: Vec::new(),
            phase: Phase::Receiving { body: None },
            arrived: None,
            deadline,
            is_read_open: true,
            is_draining: false,
            is_new: true,
            bounds,
            form,
            input: budgets.input.reservation(),
            hold: holds.input,
            is_waiting: false,
            _buffers: holds.buffers,
            queue: OutputQueue::default(),
            ends_output: false,
            output: budgets.output.reservation(holds.output, displaced),
            handler,
            timer,
            linger_until: cx.now(),
            droppable_bytes: MAX_DROPPED_BYTES,
        })
    }

    /// Closes the connection after the next answer.
    pub(crate) fn wind_down(&mut self, _: CX![]) {
        self.is_draining = true;
    }

    /// Closes the connection as soon as it has no request. A request that the operating system has
    /// already received is still answered. A new connection is kept open for a short time, because
    /// its caller may already have sent the first request.
    pub(crate) fn drain(&mut self, cx: CX![]) {
        self.is_draining = true;
        self.read(cx);
        if !self.is_read_open {
            return;
        }
        if self.is_idle() && self.is_new {
            let deadline = self.deadline.min(cx.now() + FIRST_REQUEST_TIMEOUT);
            self.set_deadline(cx, deadline);
        } else if self.is_idle() {
            self.close(cx);
        }
    }

    /// Returns whether no byte of the next request has arrived.
    fn is_idle(&self) -> bool {
        matches!(self.phase, Phase::Receiving { body: None }) && self.received.is_empty()
    }

    /// Sets the deadline of a request whose first bytes arrive. The idle timeout of the connection
    /// does not apply to it. The time of the first request counts from the opening of the
    /// connection.
    fn begin_request(&mut self, cx: CX![]) {
        let receive_deadline = cx.now() + self.bounds.get().receive;
        let deadline =
            if self.is_new { self.deadline.min(receive_deadline) } else { receive_deadline };
        self.set_deadline(cx, deadline);
    }

    fn set_deadline(&mut self, cx: CX![], deadline: Instant) {
        self.deadline = deadline;
        cx.timer_del(self.timer);
        self.timer = at!(deadline, [cx], check_deadline());
    }

    fn check_deadline(&mut self, cx: CX![]) {
        if cx.now() >= self.deadline && matches!(self.phase, Phase::Receiving { .. }) {
            // The operating system may have received bytes that were not read yet.
            self.read(cx);
            if !self.is_read_open || !matches!(self.phase, Phase::Receiving { .. }) {
                return;
            }
        }
        if cx.now() < self.deadline {
            return;
        }
        match self.phase {
            Phase::Receiving { body: None } if !self.stream.out.is_empty() => {
                self.abort(cx, "unread");
            }
            Phase::Receiving { .. } if self.is_idle() => self.close(cx),
            Phase::Receiving { .. } if self.is_waiting => self.refuse_without_memory(cx),
            Phase::Receiving { .. } => {
                let message = "the request did not arrive in time; send it whole at once";
                self.refuse(
                    cx,
                    Problem::not_run(
                        &Unsent::new(),
                        Status::REQUEST_TIMEOUT,
                        "request_timeout",
                        message,
                    ),
                );
            }
            Phase::Answering { .. } if self.stream.out.is_empty() => {}
            Phase::Refusing => {}
            Phase::Answering { .. } | Phase::Closing => self.abort(cx, "unread"),
            Phase::Lingering | Phase::Closed => self.stop(cx),
        }
    }

    fn ready(&mut self, cx: CX![], ready: Ready) {
        if ready.is_readable() {
            self.read(cx);
        }
        if ready.is_writable() {
            self.flush(cx);
        }
    }

    fn read(&mut self, cx: CX![]) {
        while self.is_read_open && self.can_read() {
            match self.stream.read(READ_BYTES) {
                ReadStatus::NewData if matches!(self.phase, Phase::Closing | Phase::Lingering) => {
                    self.drop_read(cx);
                }
                ReadStatus::NewData => {
                    if self.is_idle() {
                        self.begin_request(cx);
                    }
                    let bytes = &self.stream.inp[self.stream.rd..self.stream.wr];
                    self.received.extend_from_slice(bytes);
                    self.stream.rd = self.stream.wr;
                    if self.reserve_input() {
                        self.receive(cx);
                        self.release_input();
                    } else if matches!(self.phase, Phase::Answering { .. }) {
                        self.drop_next_request();
                    } else {
                        self.refuse_without_memory(cx);
                    }
                }
                ReadStatus::WouldBlock => break,
                ReadStatus::EndOfStream if matches!(self.phase, Phase::Closing) => {
                    self.is_read_open = false;
                }
                ReadStatus::EndOfStream | ReadStatus::Error(_) => {
                    self.is_read_open = false;
                    self.disconnect(cx);
                }
            }
        }
        if let Some(arrived) = self.arrived.take() {
            self.handler.fwd(arrived);
        }
    }

    /// Returns whether more bytes may be read. This limits how much a caller can send before it has
    /// received the answer to its current request.
    fn can_read(&self) -> bool {
        match self.phase {
            Phase::Receiving { body: None } => self.stream.out.is_empty(),
            Phase::Receiving { .. } => !self.is_waiting,
            Phase::Answering { .. } => self.received.len() < self.bounds.get().head_bytes,
            Phase::Closing | Phase::Lingering => self.droppable_bytes > 0,
            Phase::Refusing | Phase::Closed => false,
        }
    }

    /// Parses the next request from the received bytes. If it is complete, [`read`](Self::read)
    /// passes it to the handler.
    fn receive(&mut self, cx: CX![]) {
        if let Phase::Receiving { body: None } = self.phase
            && !self.receive_head(cx)
        {
            return;
        }
        let Phase::Receiving { body: Some((_, body)) } = &mut self.phase else {
            return;
        };
        if self.is_waiting {
            return;
        }
        match body.read(&mut self.received, self.bounds.get().body_bytes) {
            BodyOutcome::Partial => {}
            BodyOutcome::Complete(bytes) => self.complete_request(cx, bytes),
            BodyOutcome::Refused(problem) => self.refuse(cx, problem),
        }
    }

    /// Parses the head of a request. Returns true if the head is complete.
    fn receive_head(&mut self, cx: CX![]) -> bool {
        match Head::parse(&self.received, self.bounds.get().head_bytes) {
            ParseOutcome::Partial => false,
            ParseOutcome::Refused(problem) => {
                self.refuse(cx, problem);
                false
            }
            ParseOutcome::Complete(head) => {
                self.received.drain(..head.length);
                let body = Body::new(head.body);
                if let Some(problem) = body.check_length(self.bounds.get().body_bytes) {
                    self.refuse(cx, problem);
                    return false;
                }
                self.phase = Phase::Receiving { body: Some((head, body)) };
                self.reserve_request(cx)
            }
        }
    }

    /// Asks for the body if the caller waits for that.
    fn begin_body(&mut self, cx: CX![]) {
        let Phase::Receiving { body: Some((head, _)) } = &self.phase else {
            return;
        };
        if head.expects_continue {
            self.stream.out.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
            self.flush(cx);
        }
    }

    /// Begins to wait for the answer to a complete request.
    fn complete_request(&mut self, cx: CX![], body: Vec<u8>) {
        self.is_new = false;
        let id = names::Request(rand::rng().random());
        let keeps_alive = !self.is_draining;
        let phase = Phase::Answering { id, keeps_alive, framing: Framing::Chunks, collector: None };
        let Phase::Receiving { body: Some((head, _)) } = std::mem::replace(&mut self.phase, phase)
        else {
            return;
        };
        if let Phase::Answering { keeps_alive, framing, collector, .. } = &mut self.phase {
            *keeps_alive &= head.keeps_alive;
            if !head.reads_chunks && head.method != Method::Head {
                *collector = Some(Collector::new(self.bounds.get().unread_bytes));
            }
            if head.method == Method::Head {
                *framing = Framing::HeadOnly;
            }
        }
        cx.timer_del(self.timer);
        let needed = body.capacity() * self.bounds.get().body_copies;
        let needed = needed + head.length * HEAD_COPIES + REQUEST_BYTES;
        self.hold.force(needed + self.received.len());
        let hold = self.hold.split(needed);
        let request =
            Request { id, method: head.method, path: head.path, headers: head.headers, body };
        let reply = fwd_to!([cx], answer(id) as (Reply));
        self.arrived = Some(Event::Arrived { request, unsent: Unsent::new(), hold, reply });
    }

    /// Reads the next request once all output is sent, so that a caller that reads no answers cannot
    /// send more requests.
    fn read_next(&mut self, cx: CX![]) {
        if self.received.is_empty() {
            let deadline = cx.now() + self.bounds.get().idle;
            self.set_deadline(cx, deadline);
        } else {
            self.begin_request(cx);
            self.receive(cx);
            self.release_input();
        }
        self.read(cx);
    }
}
