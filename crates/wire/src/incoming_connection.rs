//! A TCP connection that a peer opened and on which the peer sends frames.

use std::sync::Arc;
use std::time::Duration;

use names::{Incarnation, Instance};
use rand::RngExt;
use stakker::{CX, Fwd, after, fail, fwd_to, stop};
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, ReadStatus, Ready, TcpStreamBuf};

use crate::hub::{DEAD_PEER_TIMEOUT, Delivery, Identity, SOCKET_PRIORITY};
use crate::{Error, FrameBuffer, Responder, Session};

/// Time within which a peer must complete the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes per read; larger frames arrive in several reads.
const READ_CHUNK_BYTES: usize = 16 << 10;

/// Authenticated sender of the frames on a connection.
struct Sender {
    instance: Instance,
    incarnation: Incarnation,
    session: Session,
}

/// Actor that performs the responder's side of the handshake and then delivers every frame.
pub(crate) struct IncomingConnection {
    identity: Arc<Identity>,
    stream: TcpStreamBuf,
    frames: FrameBuffer,
    sender: Option<Sender>,
    deliver: Fwd<Delivery>,
    lost: Fwd<Instance>,
}

impl IncomingConnection {
    pub(crate) fn init(
        cx: CX![],
        identity: Arc<Identity>,
        stream: TcpStream,
        deliver: Fwd<Delivery>,
        lost: Fwd<Instance>,
    ) -> Option<Self> {
        let ready = fwd_to!([cx], ready() as (Ready));
        let interest = Interest::READABLE | Interest::WRITABLE;
        let added = eventloop::set_dead_peer_timeout(&stream, DEAD_PEER_TIMEOUT).and_then(|()| {
            cx.anymap_get::<MioPoll>().add(stream, interest, SOCKET_PRIORITY, ready)
        });
        match added {
            Ok(source) => {
                let mut stream = TcpStreamBuf::new();
                stream.set_nodelay(true);
                stream.init(source);
                after!(HANDSHAKE_TIMEOUT, [cx], close_without_handshake());
                Some(Self {
                    identity,
                    stream,
                    frames: FrameBuffer::default(),
                    sender: None,
                    deliver,
                    lost,
                })
            }
            Err(error) => {
                fail!(cx, error);
                None
            }
        }
    }

    fn close_without_handshake(&mut self, cx: CX![]) {
        if self.sender.is_none() {
            stop!(cx);
        }
    }

    fn ready(&mut self, cx: CX![], ready: Ready) {
        if ready.is_writable() && self.stream.flush().is_err() {
            stop!(cx);
            return;
        }
        if ready.is_readable() {
            self.read(cx);
        }
    }

    fn read(&mut self, cx: CX![]) {
        loop {
            match self.stream.read(READ_CHUNK_BYTES) {
                ReadStatus::NewData => {
                    self.frames.push(&self.stream.inp[self.stream.rd..self.stream.wr]);
                    self.stream.rd = self.stream.wr;
                    if self.process_frames().is_err() {
                        self.identity.traffic.add_refused();
                        stop!(cx);
                        return;
                    }
                }
                ReadStatus::WouldBlock => return,
                ReadStatus::EndOfStream | ReadStatus::Error(_) => {
                    if let Some(sender) = &self.sender {
                        self.lost.fwd(sender.instance.clone());
                    }
                    stop!(cx);
                    return;
                }
            }
        }
    }

    fn process_frames(&mut self) -> Result<(), Error> {
        while let Some(frame) = self.frames.next_frame()? {
            match &mut self.sender {
                Some(sender) => {
                    let (slice, payload) = sender.session.open(&frame)?;
                    self.deliver.fwd(Delivery {
                        sender: sender.instance.clone(),
                        incarnation: sender.incarnation,
                        slice,
                        payload,
                    });
                }
                None => self.respond_to_handshake(&frame)?,
            }
        }
        Ok(())
    }

    fn respond_to_handshake(&mut self, frame: &[u8]) -> Result<(), Error> {
        let nonce = rand::rng().random();
        let (hello, welcome, session) =
            Responder::accept(&self.identity.keyring, &self.identity.instance, nonce, frame)?;
        FrameBuffer::append(&welcome, &mut self.stream.out)?;
        self.stream
            .flush()
            .map_err(|source| Error::Socket { address: hello.sender.to_string(), source })?;
        self.sender =
            Some(Sender { instance: hello.sender, incarnation: hello.incarnation, session });
        Ok(())
    }
}
