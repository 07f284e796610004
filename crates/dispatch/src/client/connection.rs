//! Actor for one connection to an upstream.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http1::Rule;
use names::Attempt;
use stakker::{Actor, CX, FixedTimerKey, Fwd, at, call, fwd_to, stop};
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, ReadStatus, Ready, TcpStreamBuf};

use super::reader::{ResponseError, ResponsePart, ResponseReader};
use super::{Client, KeepAlive, MAX_UNCONSUMED_BYTES, Outbound};
use crate::{CallEvent, Progress, Verdict};

/// Event loop priority of sockets to upstreams.
pub(super) const SOCKET_PRIORITY: u32 = 6;

/// Largest number of bytes in one read.
pub(super) const READ_BYTES: usize = 4096;

/// Largest capacity in bytes of an empty output buffer that is kept for the next request.
const KEPT_OUTPUT_BYTES: usize = 4 << 10;

/// Largest number of bytes of a request that the operating system takes while the upstream has no
/// room for them. A request whose rest is larger counts as not completely written, also where the
/// buffers of the operating system could hold it. Smaller values cost more writes.
const MAX_UNSENT_BYTES: u32 = 256 << 10;

/// Largest number of bytes of a discarded response that are read to keep the connection reusable.
/// Beyond this limit a new connection is cheaper.
const MAX_DISCARDED_BYTES: usize = 256 << 10;

/// Longest time for which a discarded response is read to keep the connection reusable. Beyond this
/// limit a new connection is cheaper.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Call that is in progress on a connection.
pub(super) struct Job {
    outbound: Outbound,
    reader: ResponseReader,
}

impl Job {
    pub(super) fn new(outbound: Outbound) -> Self {
        let mut reader = ResponseReader::new(outbound.echo.clone(), outbound.has_no_body);
        if outbound.holds_chunks {
            reader.hold_chunks();
        }
        reader.set_head_fields(outbound.head_fields);
        Self { outbound, reader }
    }

    pub(super) fn attempt(&self) -> Attempt {
        self.outbound.attempt
    }
}

/// Connection that sends requests and reads their responses, one at a time.
pub(super) struct Connection {
    client: Actor<Client>,
    number: u64,
    address: SocketAddr,
    keep_alive: KeepAlive,
    /// Whether the connection was opened for a long request.
    takes_long_requests: bool,
    events: Fwd<CallEvent>,
    stream: TcpStreamBuf,
    opened_at: Instant,
    is_connected: bool,
    /// Whether the connection has already served a request.
    is_reused: bool,
    /// Whether the connection failed while it was idle.
    is_broken: bool,
    /// Boxed, since most connections are idle.
    job: Option<Box<Job>>,
    /// Number of request bytes that were passed to the operating system.
    sent: usize,
    /// Whether the consumer needs no further events of the call.
    is_discarded: bool,
    /// Number of body bytes that were read since the response was discarded.
    discarded_bytes: usize,
    /// Whether the response is complete while the request is still being sent.
    has_response: bool,
    /// Number of body bytes that the consumer has not processed yet.
    unconsumed_bytes: usize,
    /// Whether reading is paused because of too many unconsumed bytes.
    is_paused: bool,
    /// Whether the upstream has closed its side of the connection.
    is_read_closed: bool,
    /// Whether the connection has failed in either direction. A read may see only a proper end of
    /// the stream nevertheless: a write takes the error of the socket, and an end of the stream
    /// that arrived before a reset hides it.
    has_failed: bool,
    /// Whether the upstream has ended a response without a length or chunks, while the request is
    /// still being sent.
    has_closed_early: bool,
    connect_timer: FixedTimerKey,
    response_timer: FixedTimerKey,
}

fn open_stream(address: SocketAddr, dead_peer_timeout: Duration) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    eventloop::set_dead_peer_timeout(&stream, dead_peer_timeout)?;
    eventloop::limit_unsent_bytes(&stream, MAX_UNSENT_BYTES)?;
    Ok(stream)
}

impl Connection {
    pub(super) fn init(
        cx: CX![],
        client: Actor<Client>,
        number: u64,
        address: SocketAddr,
        keep_alive: KeepAlive,
        takes_long_requests: bool,
        events: Fwd<CallEvent>,
    ) -> Option<Self> {
        let mut stream = TcpStreamBuf::new();
        stream.set_nodelay(true);
        let ready: Fwd<Ready> = fwd_to!([cx], on_ready() as (Ready));
        let dead_peer_timeout = match takes_long_requests {
            true => keep_alive.late_reader_timeout,
            false => keep_alive.dead_peer_timeout,
        };
        let registered = open_stream(address, dead_peer_timeout).and_then(|socket| {
            let interest = Interest::READABLE | Interest::WRITABLE;
            cx.anymap_get::<MioPoll>().add(socket, interest, SOCKET_PRIORITY, ready)
        });
        match registered {
            Ok(source) => stream.init(source),
            Err(error) => {
                log::warn!("cannot open a connection to the upstream at {address}: {error}")
            }
        }
        Some(Self {
            client,
            number,
            address,
            keep_alive,
            takes_long_requests,
            events,
            stream,
            opened_at: cx.now(),
            is_connected: false,
            is_reused: false,
            is_broken: false,
            job: None,
            sent: 0,
            is_discarded: false,
            discarded_bytes: 0,
            has_response: false,
            unconsumed_bytes: 0,
            is_paused: false,
            is_read_closed: false,
            has_failed: false,
            has_closed_early: false,
            connect_timer: FixedTimerKey::default(),
            response_timer: FixedTimerKey::default(),
        })
    }

    /// Starts a call. If the connection has failed, hands the call back to the client.
    pub(super) fn start(&mut self, cx: CX![], job: Box<Job>) {
        if self.is_broken {
            call!([self.client], retry_on_new_connection(job.outbound));
            stop!(cx);
            return;
        }
        self.sent = 0;
        self.is_discarded = false;
        self.discarded_bytes = 0;
        self.has_response = false;
        self.unconsumed_bytes = 0;
        self.stream.out.extend_from_slice(&job.outbound.head);
        self.stream.out.extend_from_slice(&job.outbound.body);
        let connect_deadline = job.outbound.connect_deadline;
        if let Some(deadline) = job.outbound.deadline {
            self.response_timer = at!(deadline, [cx], deadline_passed());
        }
        self.job = Some(job);
        if self.is_connected {
            self.flush(cx);
        } else {
            self.connect_timer = at!(connect_deadline, [cx], check_connected());
        }
    }

    /// Closes the connection immediately.
    pub(super) fn close(&mut self, cx: CX![]) {
        self.job = None;
        stop!(cx);
    }

    /// Reads the rest of the response without reporting events.
    pub(super) fn discard(&mut self, cx: CX![]) {
        self.is_discarded = true;
        if self.job.is_some() {
            cx.timer_del(self.response_timer);
            self.response_timer = at!(cx.now() + DISCARD_TIMEOUT, [cx], deadline_passed());
        }
        self.record_consumed(cx, usize::MAX);
    }

    /// Records that the consumer has processed `bytes` bytes. A paused read resumes through a timer
    /// once few enough bytes are unconsumed, so that other connections are served first.
    pub(super) fn record_consumed(&mut self, cx: CX![], bytes: usize) {
        self.unconsumed_bytes = self.unconsumed_bytes.saturating_sub(bytes);
        if self.is_paused && self.unconsumed_bytes < MAX_UNCONSUMED_BYTES {
            self.is_paused = false;
            at!(cx.now(), [cx], read());
        }
    }

    fn deadline_passed(&mut self, cx: CX![]) {
        self.fail(cx, "the deadline passed before the answer was complete");
    }

    fn check_connected(&mut self, cx: CX![]) {
        if !self.is_connected {
            self.fail(cx, "the connection was not established in time");
        }
    }

    fn on_ready(&mut self, cx: CX![], ready: Ready) {
        if !self.is_connected && (ready.is_writable() || ready.is_error()) {
            self.is_connected = true;
            cx.timer_del(self.connect_timer);
            if !ready.is_error() {
                let time = cx.now().saturating_duration_since(self.opened_at);
                call!([self.client], report_connected(time));
            }
        }
        self.has_failed |= ready.is_error();
        if ready.is_writable() && self.job.is_some() && !self.flush(cx) {
            return;
        }
        if ready.is_readable() || ready.is_error() {
            self.is_read_closed |= ready.is_read_closed() || ready.is_error();
            self.read(cx);
        }
    }

    /// Sends the buffered request bytes. Returns false if the connection has failed.
    fn flush(&mut self, cx: CX![]) -> bool {
        let unsent_before = self.stream.out.len();
        let flushed = self.stream.flush();
        self.sent += unsent_before - self.stream.out.len();
        match flushed {
            Err(error) if self.has_closed_early => {
                self.fail(cx, &format!("the rest of the request could not be sent: {error}"));
                false
            }
            // The upstream may have sent a response before the connection failed.
            Err(_) if self.sent > 0 => {
                self.has_failed = true;
                true
            }
            Err(error) => {
                self.fail(cx, &format!("the request could not be sent: {error}"));
                false
            }
            Ok(()) => {
                self.release_output();
                if self.has_response && self.stream.out.is_empty() {
                    self.end_job(cx);
                } else if self.has_closed_early && self.stream.out.is_empty() {
                    self.end_with_connection(cx);
                    return false;
                }
                true
            }
        }
    }

    /// Releases the buffer of a request that is sent. The connection may stay open for long, while
    /// nothing reserves memory for it.
    fn release_output(&mut self) {
        if self.stream.out.is_empty() && self.stream.out.capacity() > KEPT_OUTPUT_BYTES {
            self.stream.out = Vec::new();
        }
    }

    /// Reads the available bytes. A read that does not fill the buffer has drained the socket.
    /// Further bytes, or an end of the stream that has not been signalled yet, trigger another
    /// readiness event.
    fn read(&mut self, cx: CX![]) {
        loop {
            self.is_paused = self.unconsumed_bytes >= MAX_UNCONSUMED_BYTES;
            if self.is_paused {
                return;
            }
            let unread_before = self.stream.wr - self.stream.rd;
            match self.stream.read(READ_BYTES) {
                ReadStatus::NewData => {
                    let Some(job) = &mut self.job else {
                        // The upstream sent bytes without a pending request, so nothing on this
                        // connection can be trusted.
                        self.mark_broken(cx);
                        return;
                    };
                    let read_bytes = self.stream.wr - self.stream.rd - unread_before;
                    job.reader.push(&self.stream.inp[self.stream.rd..self.stream.wr]);
                    job.reader.expect_more(read_bytes == READ_BYTES);
                    self.stream.rd = self.stream.wr;
                    if !self.report_parts(cx) || (read_bytes < READ_BYTES && !self.is_read_closed) {
                        return;
                    }
                }
                ReadStatus::WouldBlock => {
                    self.report_held_parts(cx);
                    return;
                }
                ReadStatus::EndOfStream => {
                    if self.report_held_parts(cx) {
                        self.handle_end_of_stream(cx);
                    }
                    return;
                }
                ReadStatus::Error(error) => {
                    if self.report_held_parts(cx) {
                        self.handle_error(cx, &error);
                    }
                    return;
                }
            }
        }
    }

    /// Reports the parts of the response that were held back while the socket could hold more bytes.
    /// Returns false if the connection was abandoned.
    fn report_held_parts(&mut self, cx: CX![]) -> bool {
        if let Some(job) = &mut self.job {
            job.reader.expect_more(false);
        }
        self.report_parts(cx)
    }

    /// Handles an error of the socket.
    fn handle_error(&mut self, cx: CX![], error: &std::io::Error) {
        if self.job.is_none() {
            self.mark_broken(cx);
        } else {
            self.fail(cx, &format!("the connection failed: {error}"));
        }
    }

    /// Reports the available parts of the response. Returns false if the connection was abandoned.
    fn report_parts(&mut self, cx: CX![]) -> bool {
        let mut body = Vec::new();
        while let Some(job) = &mut self.job {
            match job.reader.next_part() {
                Ok(None) if body.is_empty() && job.reader.holds_bytes() => {
                    self.report(Progress::Received);
                    break;
                }
                Ok(None) => break,
                Ok(Some(ResponsePart::Body(bytes))) => body.extend_from_slice(&bytes),
                Ok(Some(ResponsePart::Head { status, headers, framing })) => {
                    self.report(Progress::Head { status, headers, framing });
                }
                Ok(Some(ResponsePart::End)) => {
                    self.report_body(&mut body);
                    self.report(Progress::End);
                    self.has_response = true;
                    if self.stream.out.is_empty() {
                        self.end_job(cx);
                    }
                    return true;
                }
                Err(error) => {
                    self.report_body(&mut body);
                    self.fail_malformed(cx, error);
                    return false;
                }
            }
        }
        self.report_body(&mut body);
        if self.discarded_bytes > MAX_DISCARDED_BYTES {
            self.fail(cx, "the rest of the discarded response exceeds the limit");
            return false;
        }
        true
    }

    fn report_body(&mut self, body: &mut Vec<u8>) {
        if self.is_discarded {
            self.discarded_bytes += std::mem::take(body).len();
        }
        if !body.is_empty() && !self.is_discarded {
            self.unconsumed_bytes += body.len();
            self.report(Progress::Body(std::mem::take(body)));
        }
    }

    fn report(&self, progress: Progress) {
        if let Some(job) = &self.job
            && !self.is_discarded
        {
            self.events.fwd(CallEvent { attempt: job.attempt(), progress });
        }
    }

    /// Handles the end of the stream, which ends a response without a length or chunks. Such a
    /// response is complete only if the whole request is sent: an upstream that has closed its side
    /// may read on, or break the connection off.
    fn handle_end_of_stream(&mut self, cx: CX![]) {
        let Some(job) = &mut self.job else {
            self.mark_broken(cx);
            return;
        };
        let rest = match self.has_response || self.has_failed {
            true => None,
            false => job.reader.close().ok(),
        };
        let Some(mut rest) = rest else {
            self.fail(cx, "the connection was closed before the answer was complete");
            return;
        };
        self.report_body(&mut rest);
        if self.stream.out.is_empty() {
            self.end_with_connection(cx);
        } else {
            self.has_closed_early = true;
        }
    }

    /// Ends the call whose response has ended with the connection.
    fn end_with_connection(&mut self, cx: CX![]) {
        self.report(Progress::Closed);
        self.finish(cx);
        stop!(cx);
    }

    /// Removes this idle connection from the pool of the client. [`Connection::start`] hands back a
    /// request that the client has already assigned to this connection.
    fn mark_broken(&mut self, _: CX![]) {
        if !self.is_broken {
            self.is_broken = true;
            let (address, number) = (self.address, self.number);
            call!([self.client], remove_broken(address, number));
        }
    }

    fn finish(&mut self, cx: CX![]) -> Option<Box<Job>> {
        cx.timer_del(self.response_timer);
        let job = self.job.take()?;
        call!([self.client], call_finished(job.attempt()));
        Some(job)
    }

    /// Ends the call, and returns the connection to the pool if it is reusable.
    fn end_job(&mut self, cx: CX![]) {
        let Some(job) = self.finish(cx) else {
            return;
        };
        self.is_reused = true;
        self.has_response = false;
        let announced_timeout = job.reader.keep_alive_seconds().map(Duration::from_secs);
        let idle_timeout = announced_timeout.map_or(self.keep_alive.idle_timeout, |timeout| {
            timeout.saturating_sub(self.keep_alive.close_margin).min(self.keep_alive.idle_timeout)
        });
        if !job.reader.is_reusable() || idle_timeout.is_zero() {
            stop!(cx);
            return;
        }
        let (address, number, idle_until) = (self.address, self.number, cx.now() + idle_timeout);
        let (connection, takes_long_requests) = (cx.this().clone(), self.takes_long_requests);
        call!(
            [self.client],
            add_idle(address, number, connection, takes_long_requests, idle_until)
        );
    }

    /// Ends the call whose response is malformed and closes the connection.
    fn fail_malformed(&mut self, cx: CX![], error: ResponseError) {
        let rule = match error {
            ResponseError::Malformed(rule) => Some(rule),
            ResponseError::Truncated => None,
        };
        self.end_failed(cx, rule, &format!("the answer is {error}"));
    }

    /// Ends the call with a failure and closes the connection.
    fn fail(&mut self, cx: CX![], reason: &str) {
        self.end_failed(cx, None, reason);
    }

    fn end_failed(&mut self, cx: CX![], rule: Option<Rule>, reason: &str) {
        let is_stale = self.sent == 0 && self.is_reused;
        let Some(job) = self.job.take() else {
            stop!(cx);
            return;
        };
        if self.has_response {
            // The response was complete. Only the rest of the request could not be sent.
            call!([self.client], call_finished(job.attempt()));
        } else if is_stale && !self.is_discarded {
            call!([self.client], retry_on_new_connection(job.outbound));
        } else {
            let verdict = if self.sent == 0 { Verdict::NotRun } else { Verdict::MayHaveRun };
            let attempt = job.attempt();
            call!([self.client], call_finished(attempt));
            if !self.is_discarded {
                let progress = Progress::Failed { verdict, rule, reason: reason.to_string() };
                self.events.fwd(CallEvent { attempt, progress });
            }
        }
        stop!(cx);
    }
}
