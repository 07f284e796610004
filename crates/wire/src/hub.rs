//! The transport actor, which owns the sockets towards peers.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use names::{Incarnation, Instance};
use stakker::ret_nop;
use stakker::{Actor, ActorOwn, ActorOwnSlab, CX, Fwd, actor, actor_in_slab, call, fwd_to};
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::{TcpListener, UdpSocket};
use stakker_mio::{MioPoll, MioSource, Ready};

use crate::datagram::{MAX_DATAGRAM_BYTES, VERSION};
use crate::incoming_connection::IncomingConnection;
use crate::outgoing_connection::OutgoingConnection;
use crate::{Datagram, Error, Keyring, ReplayWindow, Run, Slice, Traffic, Transport};

/// Priority of the peers' sockets in the event loop.
pub(crate) const SOCKET_PRIORITY: u32 = 8;

/// Time after which a connection between peers ends if sent bytes are not acknowledged. It is
/// longer than the retransmission of two packets lost in a row takes, and short enough that updates
/// flow again well within the three seconds after which an instance counts as recovered from a
/// network partition.
pub(crate) const DEAD_PEER_TIMEOUT: Duration = Duration::from_millis(1000);

/// A message received from a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delivery {
    /// Instance that sent the message.
    pub sender: Instance,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Slice that the message belongs to.
    pub slice: Slice,
    /// Encoded message.
    pub payload: Vec<u8>,
}

/// A message to send to a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// Instance that the message is addressed to.
    pub addressee: Instance,
    /// Slice that the message belongs to.
    pub slice: Slice,
    /// Transport protocol that carries the message.
    pub transport: Transport,
    /// Encoded message.
    pub payload: Vec<u8>,
}

/// Name and address of a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Name of the peer.
    pub instance: Instance,
    /// Address on which the peer accepts frames over TCP and UDP.
    pub address: SocketAddr,
}

/// Properties of this instance that the hub and its connections share.
pub struct Identity {
    /// Name of this instance.
    pub instance: Instance,
    /// Current incarnation of this instance.
    pub run: Run,
    /// Keys of the accepted fleet secrets.
    pub keyring: Keyring,
    /// Counters of the traffic with peers.
    pub traffic: Arc<Traffic>,
}

/// Bound TCP and UDP sockets of a hub.
pub struct Sockets {
    listener: std::net::TcpListener,
    socket: std::net::UdpSocket,
}

impl Sockets {
    /// Binds `address` for TCP and UDP.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Socket`] if the address cannot be bound.
    pub fn bind(address: SocketAddr) -> Result<Self, Error> {
        let socket_error = |source| Error::Socket { address: address.to_string(), source };
        let listener = eventloop::listen(address).map_err(socket_error)?;
        let bound = listener.local_addr().map_err(socket_error)?;
        let socket = std::net::UdpSocket::bind(bound).map_err(socket_error)?;
        socket.set_nonblocking(true).map_err(socket_error)?;
        Ok(Self { listener, socket })
    }
}

/// A peer with a known address, and the connection to it if one was needed.
struct PeerEntry {
    peer: Peer,
    connection: Option<ActorOwn<OutgoingConnection>>,
}

/// Newest incarnation of a sender of datagrams, with its replay window.
struct SenderState {
    sender: Instance,
    incarnation: Incarnation,
    window: ReplayWindow,
}

/// Actor that sends and receives frames.
pub struct Hub {
    identity: Arc<Identity>,
    listener: MioSource<TcpListener>,
    socket: MioSource<UdpSocket>,
    incoming: ActorOwnSlab<IncomingConnection>,
    /// Sorted by the name of the instance.
    peers: Vec<PeerEntry>,
    /// Sorted by the name of the sender.
    senders: Vec<SenderState>,
    /// Sequence number of the last datagram sent.
    sequence: u64,
    deliver: Fwd<Delivery>,
    lost: Fwd<Instance>,
}

impl Hub {
    /// Starts listening on `sockets`. Received messages go to `deliver`; `lost` receives the name
    /// of each peer whose incoming connection ended. The actor fails if the sockets cannot be
    /// registered with the event loop.
    pub fn init(
        cx: CX![],
        identity: Arc<Identity>,
        sockets: Sockets,
        deliver: Fwd<Delivery>,
        lost: Fwd<Instance>,
    ) -> Option<Self> {
        match Self::register(cx, sockets) {
            Ok((listener, socket)) => Some(Self {
                identity,
                listener,
                socket,
                incoming: ActorOwnSlab::new(),
                peers: Vec::new(),
                senders: Vec::new(),
                sequence: 0,
                deliver,
                lost,
            }),
            Err(error) => {
                stakker::fail!(cx, error);
                None
            }
        }
    }

    fn register(
        cx: CX![],
        sockets: Sockets,
    ) -> std::io::Result<(MioSource<TcpListener>, MioSource<UdpSocket>)> {
        let poll = cx.anymap_get::<MioPoll>();
        let listener = poll.add(
            TcpListener::from_std(sockets.listener),
            Interest::READABLE,
            SOCKET_PRIORITY,
            fwd_to!([cx], accept() as (Ready)),
        )?;
        let socket = poll.add(
            UdpSocket::from_std(sockets.socket),
            Interest::READABLE,
            SOCKET_PRIORITY,
            fwd_to!([cx], receive() as (Ready)),
        )?;
        Ok((listener, socket))
    }

    /// Adds a peer or changes its address. A changed address closes the connection to the peer.
    pub fn set_peer(&mut self, _: CX![], peer: Peer) {
        match self.find(&peer.instance) {
            Ok(index) => {
                let entry = &mut self.peers[index];
                if entry.peer.address != peer.address {
                    *entry = PeerEntry { peer, connection: None };
                }
            }
            Err(index) => self.peers.insert(index, PeerEntry { peer, connection: None }),
        }
    }

    /// Sends a message. The message is dropped and counted if the peer is unknown or unreachable,
    /// or if its queue is full.
    pub fn send(&mut self, cx: CX![], outgoing: Outgoing) {
        let Ok(index) = self.find(&outgoing.addressee) else {
            self.identity.traffic.add_dropped(1);
            return;
        };
        match outgoing.transport {
            Transport::Tcp => self.send_stream(cx, index, outgoing),
            Transport::Udp => self.send_datagram(index, outgoing),
        }
    }

    /// Opens the connection to a peer in advance of the first message. Does nothing if the address
    /// of the peer is unknown.
    pub fn connect(&mut self, cx: CX![], instance: Instance) {
        if let Ok(index) = self.find(&instance) {
            let connection = self.connection(cx, index);
            call!([connection], open());
        }
    }

    fn find(&self, instance: &Instance) -> Result<usize, usize> {
        self.peers.binary_search_by(|entry| entry.peer.instance.cmp(instance))
    }

    fn send_stream(&mut self, cx: CX![], index: usize, outgoing: Outgoing) {
        let connection = self.connection(cx, index);
        call!([connection], send(outgoing.slice, outgoing.payload));
    }

    fn connection(&mut self, cx: CX![], index: usize) -> Actor<OutgoingConnection> {
        let entry = &mut self.peers[index];
        let peer = entry.peer.clone();
        let identity = self.identity.clone();
        let connection = entry.connection.get_or_insert_with(|| {
            actor!(cx, OutgoingConnection::init(identity, peer), ret_nop!())
        });
        connection.clone()
    }

    fn send_datagram(&mut self, index: usize, outgoing: Outgoing) {
        self.sequence += 1;
        let datagram = Datagram {
            version: VERSION,
            sender: self.identity.instance.clone(),
            incarnation: self.identity.run.get(),
            sequence: self.sequence,
            addressee: outgoing.addressee,
            slice: outgoing.slice,
            payload: outgoing.payload,
        };
        let sent = datagram
            .seal(&self.identity.keyring)
            .ok()
            .and_then(|bytes| self.socket.send_to(&bytes, self.peers[index].peer.address).ok());
        match sent {
            Some(length) => self.identity.traffic.add_sent(outgoing.slice, length),
            None => self.identity.traffic.add_dropped(1),
        }
    }

    fn accept(&mut self, cx: CX![], _: Ready) {
        loop {
            match self.listener.accept() {
                Ok((stream, _)) => {
                    let identity = self.identity.clone();
                    actor_in_slab!(
                        self.incoming,
                        cx,
                        IncomingConnection::init(
                            identity,
                            stream,
                            self.deliver.clone(),
                            self.lost.clone()
                        ),
                        ret_nop!()
                    );
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return,
            }
        }
    }

    fn receive(&mut self, _: CX![], _: Ready) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer) {
                Ok((length, source)) => self.open_datagram(&buffer[..length], source),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(_) => {}
            }
        }
    }

    fn open_datagram(&mut self, bytes: &[u8], source: SocketAddr) {
        let result = Datagram::open(bytes, &self.identity.keyring, &self.identity.instance);
        match result {
            Ok(datagram) if self.is_fresh(&datagram) => {
                self.record_source(&datagram.sender, source);
                self.deliver.fwd(Delivery {
                    sender: datagram.sender,
                    incarnation: datagram.incarnation,
                    slice: datagram.slice,
                    payload: datagram.payload,
                });
            }
            _ => self.identity.traffic.add_refused(),
        }
    }

    /// Records the source address of a datagram as the address of its sender if the sender is not
    /// known yet, so that it can be answered: instances send datagrams from the address on which
    /// they listen. A later [`Hub::set_peer`] replaces the recorded address.
    fn record_source(&mut self, sender: &Instance, source: SocketAddr) {
        if let Err(index) = self.find(sender) {
            let peer = Peer { instance: sender.clone(), address: source };
            self.peers.insert(index, PeerEntry { peer, connection: None });
        }
    }

    /// Returns whether the datagram belongs to the newest known incarnation of its sender, or to a
    /// newer one, and was not received before.
    fn is_fresh(&mut self, datagram: &Datagram) -> bool {
        let found = self.senders.binary_search_by(|state| state.sender.cmp(&datagram.sender));
        let index = match found {
            Ok(index) => index,
            Err(index) => {
                let state = SenderState {
                    sender: datagram.sender.clone(),
                    incarnation: datagram.incarnation,
                    window: ReplayWindow::default(),
                };
                self.senders.insert(index, state);
                index
            }
        };
        let state = &mut self.senders[index];
        if datagram.incarnation < state.incarnation {
            return false;
        }
        if datagram.incarnation > state.incarnation {
            state.incarnation = datagram.incarnation;
            state.window = ReplayWindow::default();
        }
        state.window.accept(datagram.sequence)
    }
}
