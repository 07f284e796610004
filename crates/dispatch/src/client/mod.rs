//! Calls to upstreams on the event loop, over kept connections.

mod connection;
mod reader;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use names::Attempt;
use stakker::{Actor, ActorOwnSlab, CX, Fwd, StopCause, actor_in_slab, after, call, ret_some_to};

pub use reader::{Echo, Flaw, Piece, Reader};

use crate::{Event, Progress, Verdict};
use connection::{Connection, Job};

/// Bytes of an answer that may wait for the owner of the call. No more is read meanwhile, so that a
/// slow owner slows the upstream down and memory stays bounded.
const MAX_WAITING_BYTES: usize = 64 << 10;

/// How often idle connections are looked through.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// What connections are kept for.
#[derive(Debug, Clone, Copy)]
pub struct Keeping {
    /// How long an idle connection is kept while its upstream does not say.
    pub idle: Duration,
    /// How much earlier than the upstream says an idle connection is closed.
    pub margin: Duration,
    /// For how long bytes may stay unacknowledged, or probes unanswered, before a connection
    /// counts as broken.
    pub silence: Duration,
}

/// One call.
#[derive(Debug, Clone)]
pub struct Outbound {
    /// The attempt that it belongs to.
    pub attempt: Attempt,
    /// Where the upstream is called.
    pub address: SocketAddr,
    /// Request line and headers, with the empty line behind them.
    pub head: Vec<u8>,
    /// The body.
    pub body: Rc<[u8]>,
    /// Whether the answer has no body whatever its headers say.
    pub has_no_body: bool,
    /// By what the answer to this request is known.
    pub echo: Option<Echo>,
    /// When a new connection must stand.
    pub connect_by: Instant,
    /// When the whole answer must have arrived; none if the owner of the call sees to that.
    pub deadline: Option<Instant>,
    /// How long a kept connection may have been idle. An upstream that closes an idle connection
    /// while the request is on its way leaves open whether it ran.
    pub idle_at_most: Duration,
    /// Most connections to the address at once.
    pub connections: usize,
}

struct Idle {
    connection: Actor<Connection>,
    number: u64,
    since: Instant,
    until: Instant,
}

struct Pool {
    address: SocketAddr,
    open: usize,
    /// The one that was used last is at the end.
    idle: Vec<Idle>,
}

struct Busy {
    attempt: Attempt,
    connection: Actor<Connection>,
}

/// Makes calls, and keeps connections between them.
pub struct Client {
    keeping: Keeping,
    connections: ActorOwnSlab<Connection>,
    /// Sorted by address.
    pools: Vec<Pool>,
    /// Sorted by attempt.
    busy: Vec<Busy>,
    dialled: u64,
    events: Fwd<Event>,
    connected: Fwd<Duration>,
}

impl Client {
    /// A client whose `events` get the progress of all calls; `connected` gets the time that each
    /// connection took.
    pub fn init(
        cx: CX![],
        keeping: Keeping,
        events: Fwd<Event>,
        connected: Fwd<Duration>,
    ) -> Option<Self> {
        after!(SWEEP_PERIOD, [cx], sweep());
        Some(Self {
            keeping,
            connections: ActorOwnSlab::new(),
            pools: Vec::new(),
            busy: Vec::new(),
            dialled: 0,
            events,
            connected,
        })
    }

    /// Makes a call.
    pub fn call(&mut self, cx: CX![], outbound: Outbound) {
        let now = cx.now();
        if outbound.deadline.is_some_and(|deadline| deadline <= now) {
            self.fail(outbound.attempt, "the deadline passed before the call".to_string());
            return;
        }
        let pool = self.pool(outbound.address);
        for idle in pool.idle.extract_if(.., |idle| idle.until <= now) {
            call!([idle.connection], close());
        }
        let is_young = |idle: &Idle| now < idle.since + outbound.idle_at_most;
        match pool.idle.pop_if(|idle| is_young(idle)) {
            Some(idle) => self.start(cx, idle.connection, Job::new(outbound)),
            None => self.dial(cx, outbound),
        }
    }

    /// Makes a call that found its kept connection closed before a byte was sent.
    fn call_again(&mut self, cx: CX![], outbound: Outbound) {
        if self.forget(outbound.attempt).is_some() {
            self.dial(cx, outbound);
        }
    }

    /// Ends a call: its connection is closed and no more events come.
    pub fn cancel(&mut self, _: CX![], attempt: Attempt) {
        if let Some(connection) = self.forget(attempt) {
            call!([connection], close());
        }
    }

    /// Lets a call go on without events, so that its connection can be kept.
    pub fn discard(&mut self, _: CX![], attempt: Attempt) {
        if let Some(connection) = self.forget(attempt) {
            call!([connection], discard());
        }
    }

    /// Says that the owner of a call has taken `bytes` of its answer.
    pub fn took(&mut self, _: CX![], attempt: Attempt, bytes: usize) {
        if let Ok(index) = self.busy.binary_search_by_key(&attempt, |busy| busy.attempt) {
            call!([self.busy[index].connection], took(bytes));
        }
    }

    /// Closes the kept connections to an address that no upstream is at any more.
    pub fn close_idle(&mut self, _: CX![], address: SocketAddr) {
        for idle in self.pool(address).idle.drain(..) {
            call!([idle.connection], close());
        }
    }

    fn pool(&mut self, address: SocketAddr) -> &mut Pool {
        let found = self.pools.binary_search_by_key(&address, |pool| pool.address);
        let index = found.unwrap_or_else(|index| {
            self.pools.insert(index, Pool { address, open: 0, idle: Vec::new() });
            index
        });
        &mut self.pools[index]
    }

    fn dial(&mut self, cx: CX![], outbound: Outbound) {
        let (address, attempt, limit) = (outbound.address, outbound.attempt, outbound.connections);
        let pool = self.pool(address);
        if pool.open >= limit && !pool.idle.is_empty() {
            // One that is too old for this request makes room for a new one.
            let oldest = pool.idle.remove(0);
            call!([oldest.connection], close());
        } else if pool.open >= limit {
            let reason = format!("{limit} connections to {address} are open");
            self.fail(attempt, reason);
            return;
        }
        pool.open += 1;
        self.dialled += 1;
        let (client, number) = (cx.this().clone(), self.dialled);
        let (keeping, events) = (self.keeping, self.events.clone());
        let job = Job::new(outbound);
        let connection = actor_in_slab!(
            self.connections,
            cx,
            Connection::init(client, number, address, keeping, events),
            ret_some_to!([cx], end(address, number) as (StopCause))
        );
        self.start(cx, connection, job);
    }

    fn start(&mut self, _: CX![], connection: Actor<Connection>, job: Job) {
        let attempt = job.attempt();
        let place = self.busy.binary_search_by_key(&attempt, |busy| busy.attempt);
        let index = place.unwrap_or_else(|index| index);
        self.busy.insert(index, Busy { attempt, connection: connection.clone() });
        call!([connection], start(job));
    }

    fn fail(&self, attempt: Attempt, reason: String) {
        let progress = Progress::Failed { verdict: Verdict::NotRun, reason };
        self.events.fwd(Event { attempt, progress });
    }

    fn forget(&mut self, attempt: Attempt) -> Option<Actor<Connection>> {
        let index = self.busy.binary_search_by_key(&attempt, |busy| busy.attempt).ok()?;
        Some(self.busy.remove(index).connection)
    }

    /// Takes note that a connection stands.
    fn note_connected(&mut self, _: CX![], time: Duration) {
        self.connected.fwd(time);
    }

    /// Takes note that a call has ended, before its connection is kept or closed.
    fn finish(&mut self, _: CX![], attempt: Attempt) {
        self.forget(attempt);
    }

    /// Keeps a connection that can be used again until `until`.
    fn keep(
        &mut self,
        cx: CX![],
        address: SocketAddr,
        number: u64,
        connection: Actor<Connection>,
        until: Instant,
    ) {
        let since = cx.now();
        self.pool(address).idle.push(Idle { connection, number, since, until });
    }

    /// Closes an idle connection that broke.
    fn retire(&mut self, _: CX![], address: SocketAddr, number: u64) {
        for idle in self.pool(address).idle.extract_if(.., |idle| idle.number == number) {
            call!([idle.connection], close());
        }
    }

    fn end(&mut self, _: CX![], address: SocketAddr, number: u64, _: StopCause) {
        let pool = self.pool(address);
        pool.open = pool.open.saturating_sub(1);
        pool.idle.retain(|idle| idle.number != number);
    }

    fn sweep(&mut self, cx: CX![]) {
        let now = cx.now();
        for pool in &mut self.pools {
            for idle in pool.idle.extract_if(.., |idle| idle.until <= now) {
                call!([idle.connection], close());
            }
        }
        self.pools.retain(|pool| pool.open > 0);
        after!(SWEEP_PERIOD, [cx], sweep());
    }
}
