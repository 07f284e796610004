//! HTTP client for upstreams on the event loop, with a connection pool per address.

mod connection;
mod head;
mod listen_check;
mod reader;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use names::Attempt;
use stakker::{
    Actor, ActorOwnSlab, CX, Fwd, Ret, StopCause, actor_in_slab, after, call, ret_nop, ret_some_to,
};

pub use head::CorrelationHeader;
pub use listen_check::Listening;
pub use reader::{ResponseError, ResponsePart, ResponseReader};

use crate::{CallEvent, Progress, Verdict};
use connection::{Connection, Job, READ_BYTES};
use listen_check::ListenCheck;

/// Bytes of a response body that may be delivered to the consumer but not yet consumed. Reading
/// pauses at this limit, so that a slow consumer applies backpressure to the upstream and memory
/// use stays bounded. All connections may be readable at once, so that their events together need
/// this number of bytes for each of them.
const MAX_UNCONSUMED_BYTES: usize = 16 << 10;

/// Memory in bytes that a call takes for its response: the buffer of the socket, of two reads, the
/// events for the consumer, and what the consumer makes of them.
pub const CALL_BUFFER_BYTES: usize = 2 * READ_BYTES + 2 * MAX_UNCONSUMED_BYTES;

/// Interval between checks for expired idle connections.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Size in bytes of a request for which the receive buffer of every upstream has room.
const BUFFERED_REQUEST_BYTES: usize = 32 << 10;

/// Timeouts of pooled connections.
#[derive(Debug, Clone, Copy)]
pub struct KeepAlive {
    /// Longest time that an idle connection is kept. A shorter timeout that the upstream announces
    /// takes precedence.
    pub idle_timeout: Duration,
    /// Time by which an idle connection is closed before the timeout that the upstream announces.
    pub close_margin: Duration,
    /// Time for which sent bytes may stay unacknowledged, or keep-alive probes unanswered, before a
    /// connection counts as broken.
    pub dead_peer_timeout: Duration,
    /// The same for a connection with long requests. The operating system also counts the time for
    /// which an upstream that reads a request late has no room for more of it.
    pub late_reader_timeout: Duration,
}

/// Encoded HTTP request with its limits.
#[derive(Debug, Clone)]
pub struct Outbound {
    /// Attempt that the request belongs to.
    pub attempt: Attempt,
    /// Socket address of the upstream.
    pub address: SocketAddr,
    /// Request line and headers, including the empty line that ends them.
    pub head: Vec<u8>,
    /// Request body.
    pub body: Rc<[u8]>,
    /// Whether the response has no body regardless of its headers.
    pub has_no_body: bool,
    /// Header that matches the response to this request.
    pub echo: Option<CorrelationHeader>,
    /// Names of fields that only heads of responses have, beside those of HTTP/1.1, in lower case. A body
    /// without framing that begins with one is the rest of a damaged head.
    pub head_fields: &'static [&'static str],
    /// Deadline for establishing a new connection.
    pub connect_deadline: Instant,
    /// Deadline for the complete response; none if the consumer enforces a deadline.
    pub deadline: Option<Instant>,
    /// Longest idle time of a reused connection. If an upstream closes an idle connection while a
    /// request is in transit, it is unknown whether the request ran.
    pub max_connection_idle: Duration,
    /// Time at which the same request was first sent to the address, if it was. A connection that
    /// was in use since then is not reused, because a late copy of the response to the earlier
    /// attempt would be taken for the response to this one.
    pub first_sent_at: Option<Instant>,
    /// Whether the data of small chunks is passed on only once their ends have arrived, because another
    /// call may resume the response.
    pub holds_chunks: bool,
    /// Largest number of simultaneous connections to the address.
    pub max_connections: usize,
}

impl Outbound {
    /// Returns whether an upstream may have no room for the request until it reads some of it.
    fn is_long(&self) -> bool {
        self.head.len() + self.body.len() > BUFFERED_REQUEST_BYTES
    }
}

struct IdleConnection {
    connection: Actor<Connection>,
    number: u64,
    /// Whether the connection was opened for a long request.
    takes_long_requests: bool,
    idle_since: Instant,
    idle_until: Instant,
}

impl IdleConnection {
    /// Returns whether the connection may carry the request.
    fn is_usable(&self, now: Instant, outbound: &Outbound) -> bool {
        let has_not_carried = outbound.first_sent_at.is_none_or(|at| self.idle_since < at);
        has_not_carried
            && (self.takes_long_requests || !outbound.is_long())
            && now < self.idle_since + outbound.max_connection_idle
    }
}

struct Pool {
    address: SocketAddr,
    open_count: usize,
    /// Sorted by time of last use, the most recently used connection last.
    idle: Vec<IdleConnection>,
}

struct ActiveCall {
    attempt: Attempt,
    connection: Actor<Connection>,
}

/// Sends requests to upstreams and pools their connections.
pub struct Client {
    keep_alive: KeepAlive,
    connections: ActorOwnSlab<Connection>,
    listen_checks: ActorOwnSlab<ListenCheck>,
    /// Sorted by address.
    pools: Vec<Pool>,
    /// Sorted by attempt.
    active_calls: Vec<ActiveCall>,
    last_connection_number: u64,
    events: Fwd<CallEvent>,
    connected: Fwd<Duration>,
}

impl Client {
    /// Creates a client. `events` receives the progress of all calls. `connected` receives the time
    /// needed to establish each connection.
    pub fn init(
        cx: CX![],
        keep_alive: KeepAlive,
        events: Fwd<CallEvent>,
        connected: Fwd<Duration>,
    ) -> Option<Self> {
        after!(IDLE_CHECK_INTERVAL, [cx], close_expired());
        Some(Self {
            keep_alive,
            connections: ActorOwnSlab::new(),
            listen_checks: ActorOwnSlab::new(),
            pools: Vec::new(),
            active_calls: Vec::new(),
            last_connection_number: 0,
            events,
            connected,
        })
    }

    /// Sends a request over an idle connection or a new one.
    pub fn call(&mut self, cx: CX![], outbound: Outbound) {
        let now = cx.now();
        if outbound.deadline.is_some_and(|deadline| deadline <= now) {
            let reason = "the deadline passed before the call".to_string();
            let progress = Progress::Failed { verdict: Verdict::NotRun, rule: None, reason };
            self.events.fwd(CallEvent { attempt: outbound.attempt, progress });
            return;
        }
        let pool = self.pool(outbound.address);
        for idle in pool.idle.extract_if(.., |idle| idle.idle_until <= now) {
            call!([idle.connection], close());
        }
        let usable = pool.idle.iter().rposition(|idle| idle.is_usable(now, &outbound));
        match usable.map(|index| pool.idle.remove(index)) {
            Some(idle) => self.start(cx, idle.connection, Box::new(Job::new(outbound))),
            None => self.open_connection(cx, outbound),
        }
    }

    /// Sends a request over a new connection because its pooled connection was closed before any
    /// byte was sent.
    fn retry_on_new_connection(&mut self, cx: CX![], outbound: Outbound) {
        if self.remove_active(outbound.attempt).is_some() {
            self.open_connection(cx, outbound);
        }
    }

    /// Cancels a call: closes its connection and reports no further events.
    pub fn cancel(&mut self, _: CX![], attempt: Attempt) {
        if let Some(connection) = self.remove_active(attempt) {
            call!([connection], close());
        }
    }

    /// Drops the rest of a response without reporting events, so that the connection can be reused.
    pub fn discard(&mut self, _: CX![], attempt: Attempt) {
        if let Some(connection) = self.remove_active(attempt) {
            call!([connection], discard());
        }
    }

    /// Records that the consumer has processed `bytes` bytes of a response body.
    pub fn record_consumed(&mut self, _: CX![], attempt: Attempt, bytes: usize) {
        if let Ok(index) = self.active_calls.binary_search_by_key(&attempt, |active| active.attempt)
        {
            call!([self.active_calls[index].connection], record_consumed(bytes));
        }
    }

    /// Closes the idle connections to an address that is no longer used by any upstream.
    pub fn close_idle(&mut self, _: CX![], address: SocketAddr) {
        for idle in self.pool(address).idle.drain(..) {
            call!([idle.connection], close());
        }
    }

    /// Checks whether a process listens at `address`. No answer by `deadline` leaves that unknown.
    pub fn check_listening(
        &mut self,
        cx: CX![],
        address: SocketAddr,
        deadline: Instant,
        result: Ret<Listening>,
    ) {
        actor_in_slab!(
            self.listen_checks,
            cx,
            ListenCheck::init(address, deadline, result),
            ret_nop!()
        );
    }

    fn pool(&mut self, address: SocketAddr) -> &mut Pool {
        let found = self.pools.binary_search_by_key(&address, |pool| pool.address);
        let index = found.unwrap_or_else(|index| {
            self.pools.insert(index, Pool { address, open_count: 0, idle: Vec::new() });
            index
        });
        &mut self.pools[index]
    }

    fn open_connection(&mut self, cx: CX![], outbound: Outbound) {
        let (address, attempt, limit) =
            (outbound.address, outbound.attempt, outbound.max_connections);
        let pool = self.pool(address);
        if pool.open_count >= limit && !pool.idle.is_empty() {
            // No idle connection is usable for this request. The oldest one is replaced.
            let oldest = pool.idle.remove(0);
            call!([oldest.connection], close());
        } else if pool.open_count >= limit {
            let reason = format!("{limit} connections to {address} are open");
            self.events.fwd(CallEvent { attempt, progress: Progress::NotSent { reason } });
            return;
        }
        pool.open_count += 1;
        self.last_connection_number += 1;
        let (client, number) = (cx.this().clone(), self.last_connection_number);
        let (keep_alive, events) = (self.keep_alive, self.events.clone());
        let takes_long_requests = outbound.is_long();
        let job = Box::new(Job::new(outbound));
        let connection = actor_in_slab!(
            self.connections,
            cx,
            Connection::init(client, number, address, keep_alive, takes_long_requests, events),
            ret_some_to!([cx], connection_ended(address, number) as (StopCause))
        );
        self.start(cx, connection, job);
    }

    fn start(&mut self, _: CX![], connection: Actor<Connection>, job: Box<Job>) {
        let attempt = job.attempt();
        let found = self.active_calls.binary_search_by_key(&attempt, |active| active.attempt);
        let index = found.unwrap_or_else(|index| index);
        self.active_calls.insert(index, ActiveCall { attempt, connection: connection.clone() });
        call!([connection], start(job));
    }

    fn remove_active(&mut self, attempt: Attempt) -> Option<Actor<Connection>> {
        let index =
            self.active_calls.binary_search_by_key(&attempt, |active| active.attempt).ok()?;
        Some(self.active_calls.remove(index).connection)
    }

    /// Reports that a connection was established after `time`.
    fn report_connected(&mut self, _: CX![], time: Duration) {
        self.connected.fwd(time);
    }

    /// Records the end of a call, before its connection is pooled or closed.
    fn call_finished(&mut self, _: CX![], attempt: Attempt) {
        self.remove_active(attempt);
    }

    /// Adds a connection to the pool, where it may be reused until `idle_until`.
    fn add_idle(
        &mut self,
        cx: CX![],
        address: SocketAddr,
        number: u64,
        connection: Actor<Connection>,
        takes_long_requests: bool,
        idle_until: Instant,
    ) {
        let idle_since = cx.now();
        self.pool(address).idle.push(IdleConnection {
            connection,
            number,
            takes_long_requests,
            idle_since,
            idle_until,
        });
    }

    /// Closes an idle connection that has failed.
    fn remove_broken(&mut self, _: CX![], address: SocketAddr, number: u64) {
        for idle in self.pool(address).idle.extract_if(.., |idle| idle.number == number) {
            call!([idle.connection], close());
        }
    }

    fn connection_ended(&mut self, _: CX![], address: SocketAddr, number: u64, _: StopCause) {
        let pool = self.pool(address);
        pool.open_count = pool.open_count.saturating_sub(1);
        pool.idle.retain(|idle| idle.number != number);
    }

    fn close_expired(&mut self, cx: CX![]) {
        let now = cx.now();
        for pool in &mut self.pools {
            for idle in pool.idle.extract_if(.., |idle| idle.idle_until <= now) {
                call!([idle.connection], close());
            }
        }
        self.pools.retain(|pool| pool.open_count > 0);
        after!(IDLE_CHECK_INTERVAL, [cx], close_expired());
    }
}
