//! A connection that a peer dialled and sends frames on.

use std::sync::Arc;
use std::time::Duration;

use names::{Incarnation, Instance};
use rand::RngExt;
use stakker::{CX, Fwd, after, fail, fwd_to, stop};
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, ReadStatus, Ready, TcpStreamBuf};

use crate::hub::{Delivery, Identity, PEER_SILENCE, SOCKET_PRIORITY};
use crate::{Error, Frames, Listener, Session};

/// How long a dialler may take to prove the fleet secret.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest read at once; larger frames arrive in several.
const READ_BYTES: usize = 16 << 10;

struct Sender {
    instance: Instance,
    incarnation: Incarnation,
    session: Session,
}

/// Checks the handshake, then delivers every frame.
pub(crate) struct Incoming {
    identity: Arc<Identity>,
    stream: TcpStreamBuf,
    frames: Frames,
    sender: Option<Sender>,
    deliver: Fwd<Delivery>,
    lost: Fwd<Instance>,
}

impl Incoming {
    pub(crate) fn init(
        cx: CX![],
        identity: Arc<Identity>,
        stream: TcpStream,
        deliver: Fwd<Delivery>,
        lost: Fwd<Instance>,
    ) -> Option<Self> {
        let ready = fwd_to!([cx], ready() as (Ready));
        let interest = Interest::READABLE | Interest::WRITABLE;
        let added = eventloop::watch_silence(&stream, PEER_SILENCE).and_then(|()| {
            cx.anymap_get::<MioPoll>().add(stream, interest, SOCKET_PRIORITY, ready)
        });
        match added {
            Ok(source) => {
                let mut stream = TcpStreamBuf::new();
                stream.set_nodelay(true);
                stream.init(source);
                after!(HANDSHAKE_TIMEOUT, [cx], check_handshake());
                Some(Self {
                    identity,
                    stream,
                    frames: Frames::default(),
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

    fn check_handshake(&mut self, cx: CX![]) {
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
            match self.stream.read(READ_BYTES) {
                ReadStatus::NewData => {
                    self.frames.push(&self.stream.inp[self.stream.rd..self.stream.wr]);
                    self.stream.rd = self.stream.wr;
                    if self.take_frames().is_err() {
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

    fn take_frames(&mut self) -> Result<(), Error> {
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
                None => self.shake(&frame)?,
            }
        }
        Ok(())
    }

    fn shake(&mut self, frame: &[u8]) -> Result<(), Error> {
        let nonce = rand::rng().random();
        let (hello, welcome, session) =
            Listener::accept(&self.identity.keyring, &self.identity.me, nonce, frame)?;
        Frames::append(&welcome, &mut self.stream.out)?;
        self.stream
            .flush()
            .map_err(|source| Error::Socket { address: hello.sender.to_string(), source })?;
        self.sender =
            Some(Sender { instance: hello.sender, incarnation: hello.incarnation, session });
        Ok(())
    }
}
