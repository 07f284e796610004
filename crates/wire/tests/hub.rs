//! Hubs that exchange frames over loopback.

#![allow(clippy::unwrap_used)]

use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use eventloop::Loop;
use names::{Incarnation, Instance};
use socket2::{Domain, Socket, Type};
use stakker::{ActorOwn, Fwd, Stakker, StopCause, actor, call, ret_nop};
use wire::{
    Delivery, FrameBuffer, Hub, Identity, Keyring, Outgoing, Peer, Responder, Run, Slice, Sockets,
    Traffic, Transport,
};

const SECRET: &str = "a secret of this test";

/// Time within which frames must arrive on loopback.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Time within which a connection whose peer reads nothing must be closed and replaced.
const RECONNECT_TIME: Duration = Duration::from_secs(3);

/// Port of every hub; the hubs listen on different loopback hosts.
const PORT: u16 = 20_011;

struct TestHub {
    hub: ActorOwn<Hub>,
    address: SocketAddr,
    received: Rc<RefCell<Vec<Delivery>>>,
}

/// Binds sockets on a loopback host that no other process uses. On the common loopback host, a port
/// that is free for UDP may be in use for TCP.
fn bind_sockets() -> (SocketAddr, Sockets) {
    let process = (std::process::id() % 250) as u8;
    let hosts = (1..=250).map(|host| SocketAddr::from(([127, 251, process, host], PORT)));
    let mut bound = hosts.filter_map(|address| Some((address, Sockets::bind(address).ok()?)));
    bound.next().unwrap()
}

fn start_hub(stakker: &mut Stakker, name: &str) -> TestHub {
    let (address, sockets) = bind_sockets();
    let identity = Arc::new(Identity {
        instance: name.parse().unwrap(),
        run: Run::new(Incarnation(1)),
        keyring: Keyring::new(&[SECRET.to_string()]),
        traffic: Arc::new(Traffic::default()),
    });
    let received = Rc::new(RefCell::new(Vec::new()));
    let log = received.clone();
    let deliver = Fwd::new(move |delivery: Delivery| log.borrow_mut().push(delivery));
    let lost = Fwd::new(|_: Instance| {});
    let hub = actor!(stakker, Hub::init(identity, sockets, deliver, lost), ret_nop!());
    TestHub { hub, address, received }
}

fn run(event_loop: &mut Loop) {
    run_for(event_loop, DELIVERY_TIMEOUT);
}

fn run_for(event_loop: &mut Loop, span: Duration) {
    let deferrer = event_loop.stakker().deferrer();
    let stakker = event_loop.stakker();
    stakker.after(span, move |_| {
        deferrer.defer(|stakker| stakker.shutdown(StopCause::Stopped));
    });
    event_loop.run().unwrap();
    assert!(event_loop.stakker().shutdown_reason().is_some());
}

fn outgoing(addressee: &str, transport: Transport) -> Outgoing {
    let addressee = addressee.parse().unwrap();
    Outgoing { addressee, slice: Slice::Feed, transport, payload: vec![1, 2, 3] }
}

#[test]
fn a_peer_without_a_configured_address_can_be_answered() {
    let mut event_loop = Loop::new().unwrap();
    let stakker = event_loop.stakker();
    let (known, caller) = (start_hub(stakker, "known"), start_hub(stakker, "caller"));
    let peer = Peer { instance: "known".parse().unwrap(), address: known.address };
    call!([caller.hub], set_peer(peer));
    let request = outgoing("known", Transport::Udp);
    call!([caller.hub], send(request));
    run(&mut event_loop);
    assert_eq!(known.received.borrow().len(), 1);
    for transport in [Transport::Udp, Transport::Tcp] {
        let answer = outgoing("caller", transport);
        call!([known.hub], send(answer));
    }
    run(&mut event_loop);
    assert_eq!(caller.received.borrow().len(), 2);
}

/// Starts a peer named `me` that accepts connections, completes the handshake, and then reads
/// nothing, like a peer behind a network partition. Returns its address and the number of accepted
/// connections.
fn start_stalled_peer(me: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(16 << 10).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(8).unwrap();
    let listener = std::net::TcpListener::from(socket);
    let address = listener.local_addr().unwrap();
    let count = Arc::new(AtomicUsize::new(0));
    let accepted = count.clone();
    std::thread::spawn(move || {
        let keyring = Keyring::new(&[SECRET.to_string()]);
        let mut kept = Vec::new();
        while let Ok((mut stream, _)) = listener.accept() {
            accepted.fetch_add(1, Ordering::Relaxed);
            let (mut frames, mut bytes) = (FrameBuffer::default(), [0; 256]);
            let hello = loop {
                let length = stream.read(&mut bytes).unwrap();
                frames.push(&bytes[..length]);
                if let Some(frame) = frames.next_frame().unwrap() {
                    break frame;
                }
            };
            let me: Instance = me.parse().unwrap();
            let (_, welcome, _) = Responder::accept(&keyring, &me, 7, &hello).unwrap();
            let mut answer = Vec::new();
            FrameBuffer::append(&welcome, &mut answer).unwrap();
            stream.write_all(&answer).unwrap();
            kept.push(stream);
        }
    });
    (address, count)
}

/// Without a timeout for unacknowledged bytes, bytes held up by a network partition were
/// retransmitted only three seconds after the partition had healed, which delayed all updates of
/// upstreams and documents.
#[test]
fn a_connection_with_unacknowledged_bytes_is_replaced() {
    let mut event_loop = Loop::new().unwrap();
    let stakker = event_loop.stakker();
    let sender = start_hub(stakker, "sender");
    let (address, accepted) = start_stalled_peer("silent");
    let peer = Peer { instance: "silent".parse().unwrap(), address };
    call!([sender.hub], set_peer(peer));
    for _ in 0..7 {
        let large = Outgoing { payload: vec![1; 1 << 20], ..outgoing("silent", Transport::Tcp) };
        call!([sender.hub], send(large));
    }
    run_for(&mut event_loop, RECONNECT_TIME);
    let more = outgoing("silent", Transport::Tcp);
    call!([sender.hub], send(more));
    run(&mut event_loop);
    assert_eq!(accepted.load(Ordering::Relaxed), 2);
}

#[test]
fn connect_opens_one_connection_before_the_first_message() {
    let mut event_loop = Loop::new().unwrap();
    let stakker = event_loop.stakker();
    let sender = start_hub(stakker, "sender");
    let (address, accepted) = start_stalled_peer("peer");
    let instance: Instance = "peer".parse().unwrap();
    let unknown: Instance = "nobody".parse().unwrap();
    call!([sender.hub], set_peer(Peer { instance: instance.clone(), address }));
    for _ in 0..3 {
        let (instance, unknown) = (instance.clone(), unknown.clone());
        call!([sender.hub], connect(instance));
        call!([sender.hub], connect(unknown));
    }
    run(&mut event_loop);
    assert_eq!(accepted.load(Ordering::Relaxed), 1);
}
