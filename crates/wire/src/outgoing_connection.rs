//! The TCP connection that this instance opens to one peer and on which it sends frames.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use stakker::{CX, FixedTimerKey, Fwd, after, fwd_to};
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, ReadStatus, Ready, TcpStreamBuf};

use crate::hub::{DEAD_PEER_TIMEOUT, Identity, Peer, SOCKET_PRIORITY};
use crate::{Error, FrameBuffer, Initiator, Session, Slice};

/// Limit on the bytes that are queued for a peer; frames above the limit are dropped.
const MAX_QUEUED_BYTES: usize = 8 << 20;

/// Time within which a connection must be established and its handshake completed.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before the next connection attempt after a connection failed.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Bytes per read; only the peer's answer to the handshake is expected.
const READ_CHUNK_BYTES: usize = 4096;

/// State of the connection.
enum Phase {
    /// Not connected; the next frame opens a connection.
    Idle,
    /// Connecting, or waiting for the peer's answer to the handshake.
    Handshaking { initiator: Option<Initiator>, frames: FrameBuffer },
    /// Ready to send frames.
    Established(Session),
    /// Waiting for [`RECONNECT_DELAY`] after a failure.
    BackingOff,
}

/// Actor that connects on demand, performs the initiator's side of the handshake, and sends the
/// queued frames in order.
pub(crate) struct OutgoingConnection {
    identity: Arc<Identity>,
    peer: Peer,
    phase: Phase,
    stream: TcpStreamBuf,
    queue: Vec<(Slice, Vec<u8>)>,
    queued_bytes: usize,
    timer: FixedTimerKey,
    /// Number of connection attempts so far. Events of earlier attempts are ignored.
    attempt: u64,
}

impl OutgoingConnection {
    pub(crate) fn init(_: CX![], identity: Arc<Identity>, peer: Peer) -> Option<Self> {
        Some(Self {
            identity,
            peer,
            phase: Phase::Idle,
            stream: TcpStreamBuf::new(),
            queue: Vec::new(),
            queued_bytes: 0,
            timer: FixedTimerKey::default(),
            attempt: 0,
        })
    }

    /// Queues a frame and sends as many queued frames as possible.
    pub(crate) fn send(&mut self, cx: CX![], slice: Slice, payload: Vec<u8>) {
        if self.queued_bytes + self.stream.out.len() + payload.len() > MAX_QUEUED_BYTES {
            self.identity.traffic.add_dropped(1);
            return;
        }
        self.queued_bytes += payload.len();
        self.queue.push((slice, payload));
        match self.phase {
            Phase::Idle => self.connect_or_back_off(cx),
            Phase::Established(_) => self.flush(cx),
            Phase::Handshaking { .. } | Phase::BackingOff => {}
        }
    }

    /// Starts connecting if the connection is idle, so that later messages do not wait for the
    /// handshake.
    pub(crate) fn open(&mut self, cx: CX![]) {
        if matches!(self.phase, Phase::Idle) {
            self.connect_or_back_off(cx);
        }
    }

    fn connect_or_back_off(&mut self, cx: CX![]) {
        if self.connect(cx).is_err() {
            self.fail(cx);
        }
    }

    fn connect(&mut self, cx: CX![]) -> Result<(), Error> {
        let socket_error =
            |source| Error::Socket { address: self.peer.address.to_string(), source };
        let stream = TcpStream::connect(self.peer.address).map_err(socket_error)?;
        eventloop::set_dead_peer_timeout(&stream, DEAD_PEER_TIMEOUT).map_err(socket_error)?;
        self.attempt += 1;
        let attempt = self.attempt;
        let ready: Fwd<Ready> = fwd_to!([cx], ready(attempt) as (Ready));
        let source = cx
            .anymap_get::<MioPoll>()
            .add(stream, Interest::READABLE | Interest::WRITABLE, SOCKET_PRIORITY, ready)
            .map_err(socket_error)?;
        let identity = &self.identity;
        let (initiator, hello) = Initiator::start(
            identity.keyring.clone(),
            identity.instance.clone(),
            identity.run.get(),
            self.peer.instance.clone(),
            rand::rng().random(),
        )?;
        self.stream = TcpStreamBuf::new();
        self.stream.set_nodelay(true);
        self.stream.init(source);
        FrameBuffer::append(&hello, &mut self.stream.out)?;
        self.phase =
            Phase::Handshaking { initiator: Some(initiator), frames: FrameBuffer::default() };
        cx.timer_del(self.timer);
        self.timer = after!(HANDSHAKE_TIMEOUT, [cx], check_handshake_timeout(attempt));
        Ok(())
    }

    fn check_handshake_timeout(&mut self, cx: CX![], attempt: u64) {
        if attempt == self.attempt && matches!(self.phase, Phase::Handshaking { .. }) {
            self.fail(cx);
        }
    }

    fn ready(&mut self, cx: CX![], attempt: u64, ready: Ready) {
        if attempt != self.attempt || matches!(self.phase, Phase::BackingOff | Phase::Idle) {
            return;
        }
        let mut healthy = true;
        if ready.is_readable() {
            healthy = self.read(cx);
        }
        if healthy && ready.is_writable() {
            self.flush(cx);
        }
    }

    /// Reads the received bytes. Returns false if the connection failed.
    fn read(&mut self, cx: CX![]) -> bool {
        loop {
            match self.stream.read(READ_CHUNK_BYTES) {
                ReadStatus::NewData => {
                    let bytes = self.stream.inp[self.stream.rd..self.stream.wr].to_vec();
                    self.stream.rd = self.stream.wr;
                    if self.continue_handshake(cx, &bytes).is_err() {
                        self.identity.traffic.add_refused();
                        self.fail(cx);
                        return false;
                    }
                }
                ReadStatus::WouldBlock => return true,
                ReadStatus::EndOfStream | ReadStatus::Error(_) => {
                    self.fail(cx);
                    return false;
                }
            }
        }
    }

    fn continue_handshake(&mut self, cx: CX![], bytes: &[u8]) -> Result<(), Error> {
        let Phase::Handshaking { initiator, frames } = &mut self.phase else {
            return Err(Error::Unauthenticated);
        };
        frames.push(bytes);
        let Some(welcome) = frames.next_frame()? else {
            return Ok(());
        };
        let session = initiator.take().ok_or(Error::Unauthenticated)?.finish(&welcome)?;
        self.phase = Phase::Established(session);
        self.flush(cx);
        Ok(())
    }

    fn flush(&mut self, cx: CX![]) {
        if let Phase::Established(session) = &mut self.phase {
            let mut frame = Vec::new();
            for (slice, payload) in self.queue.drain(..) {
                frame.clear();
                session.seal(slice, &payload, &mut frame);
                let length_before = self.stream.out.len();
                match FrameBuffer::append(&frame, &mut self.stream.out) {
                    Ok(()) => {
                        let length = self.stream.out.len() - length_before;
                        self.identity.traffic.add_sent(slice, length);
                    }
                    Err(_) => self.identity.traffic.add_dropped(1),
                }
            }
            self.queued_bytes = 0;
        }
        if self.stream.flush().is_err() {
            self.fail(cx);
        }
    }

    /// Closes the connection, drops the queued frames, and delays the next connection attempt.
    fn fail(&mut self, cx: CX![]) {
        self.identity.traffic.add_dropped(self.queue.len());
        self.queue.clear();
        self.queued_bytes = 0;
        self.stream = TcpStreamBuf::new();
        self.phase = Phase::BackingOff;
        cx.timer_del(self.timer);
        self.timer = after!(RECONNECT_DELAY, [cx], end_backoff());
    }

    fn end_backoff(&mut self, cx: CX![]) {
        self.phase = Phase::Idle;
        if !self.queue.is_empty() {
            self.connect_or_back_off(cx);
        }
    }
}
