//! Hubs on loopback.

#![allow(clippy::unwrap_used)]

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use eventloop::Loop;
use names::{Incarnation, Instance};
use stakker::{ActorOwn, Fwd, Stakker, StopCause, actor, call, ret_nop};
use wire::{
    Delivery, Hub, Identity, Keyring, Outgoing, Peer, Run, Slice, Sockets, Traffic, Transport,
};

/// How long frames may take on loopback.
const PATIENCE: Duration = Duration::from_millis(500);

/// The same on each host.
const PORT: u16 = 20_011;

struct Side {
    hub: ActorOwn<Hub>,
    address: SocketAddr,
    received: Rc<RefCell<Vec<Delivery>>>,
}

/// Sockets on a loopback host that nobody else uses: a port that is free for UDP on the common one
/// may be taken for TCP.
fn sockets() -> (SocketAddr, Sockets) {
    let process = (std::process::id() % 250) as u8;
    let hosts = (1..=250).map(|host| SocketAddr::from(([127, 251, process, host], PORT)));
    let mut bound = hosts.filter_map(|address| Some((address, Sockets::bind(address).ok()?)));
    bound.next().unwrap()
}

fn side(stakker: &mut Stakker, name: &str) -> Side {
    let (address, sockets) = sockets();
    let identity = Arc::new(Identity {
        me: name.parse().unwrap(),
        run: Run::new(Incarnation(1)),
        keyring: Keyring::new(&["a secret of this test".to_string()]),
        traffic: Arc::new(Traffic::default()),
    });
    let received = Rc::new(RefCell::new(Vec::new()));
    let log = received.clone();
    let deliver = Fwd::new(move |delivery: Delivery| log.borrow_mut().push(delivery));
    let lost = Fwd::new(|_: Instance| {});
    let hub = actor!(stakker, Hub::init(identity, sockets, deliver, lost), ret_nop!());
    Side { hub, address, received }
}

fn run(event_loop: &mut Loop) {
    let deferrer = event_loop.stakker().deferrer();
    let stakker = event_loop.stakker();
    stakker.after(PATIENCE, move |_| {
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
fn a_peer_that_nobody_named_can_be_answered() {
    let mut event_loop = Loop::new().unwrap();
    let stakker = event_loop.stakker();
    let (known, caller) = (side(stakker, "known"), side(stakker, "caller"));
    let peer = Peer { instance: "known".parse().unwrap(), address: known.address };
    call!([caller.hub], set_peer(peer));
    let question = outgoing("known", Transport::Udp);
    call!([caller.hub], send(question));
    run(&mut event_loop);
    assert_eq!(known.received.borrow().len(), 1);
    for transport in [Transport::Udp, Transport::Tcp] {
        let answer = outgoing("caller", transport);
        call!([known.hub], send(answer));
    }
    run(&mut event_loop);
    assert_eq!(caller.received.borrow().len(), 2);
}
