//! The actor that accepts callers' connections.

use std::cell::Cell;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use stakker::{ActorOwnSlab, CX, Fwd, StopCause, actor_in_slab, call, fail, fwd_to, ret_some_to};
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpListener;
use stakker_mio::{MioPoll, MioSource, Ready};

use crate::budget::Budget;
use crate::connection::Connection;
use crate::{Event, Form};

/// Priority of callers' sockets in the event loop.
pub(crate) const SOCKET_PRIORITY: u32 = 5;

/// Bounds of one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Most bytes of request line and headers.
    pub head_bytes: usize,
    /// Most bytes of a body.
    pub body_bytes: usize,
    /// Most bytes of requests on their way in, over all connections.
    pub incoming_bytes: usize,
    /// Most bytes of a streamed answer that wait for the caller.
    pub unread_bytes: usize,
    /// Most connections at once.
    pub connections: usize,
    /// How long a request may take to arrive whole.
    pub receive: Duration,
    /// How long a connection may stay without a request.
    pub idle: Duration,
    /// How long an answer may wait for the caller to read on.
    pub unread: Duration,
}

/// Accepts connections and keeps their actors.
pub struct Server {
    listener: Option<MioSource<TcpListener>>,
    connections: ActorOwnSlab<Connection>,
    open: usize,
    bounds: Rc<Cell<Bounds>>,
    form: Rc<dyn Form>,
    is_winding_down: bool,
    budget: Budget,
    handler: Fwd<Event>,
    drained: Option<Fwd<()>>,
}

impl Server {
    /// Starts accepting on `listener`; requests go to `handler`. The actor fails when the event
    /// loop refuses the socket.
    pub fn init(
        cx: CX![],
        listener: std::net::TcpListener,
        bounds: Bounds,
        form: Rc<dyn Form>,
        handler: Fwd<Event>,
    ) -> Option<Self> {
        let ready = fwd_to!([cx], accept() as (Ready));
        let source = TcpListener::from_std(listener);
        let poll = cx.anymap_get::<MioPoll>();
        match poll.add(source, Interest::READABLE, SOCKET_PRIORITY, ready) {
            Ok(listener) => Some(Self {
                listener: Some(listener),
                connections: ActorOwnSlab::new(),
                open: 0,
                bounds: Rc::new(Cell::new(bounds)),
                form,
                is_winding_down: false,
                budget: Budget::new(bounds.incoming_bytes),
                handler,
                drained: None,
            }),
            Err(error) => {
                fail!(cx, error);
                None
            }
        }
    }

    /// Changes the bounds, also of open connections. A deadline that runs stays as it is.
    pub fn set_bounds(&mut self, _: CX![], bounds: Bounds) {
        self.bounds.set(bounds);
    }

    /// Goes on accepting, but closes every connection behind its next answer, so that callers
    /// move to other instances without a request lost.
    pub fn wind_down(&mut self, _: CX![]) {
        self.is_winding_down = true;
        for connection in &self.connections {
            call!([connection], wind_down());
        }
    }

    /// Stops accepting, after those that are connected already. Connections close after their
    /// answer, idle ones at once and new ones soon, unless a request comes. `drained` is told when
    /// the last one has closed.
    pub fn drain(&mut self, cx: CX![], drained: Fwd<()>) {
        self.accept_waiting(cx);
        self.listener = None;
        self.drained = Some(drained);
        for connection in &self.connections {
            call!([connection], drain());
        }
        self.check_drained();
    }

    fn check_drained(&self) {
        if let Some(drained) = &self.drained
            && self.open == 0
        {
            drained.fwd(());
        }
    }

    fn close(&mut self, _: CX![], _: StopCause) {
        self.open -= 1;
        self.check_drained();
    }

    fn accept(&mut self, cx: CX![], _: Ready) {
        self.accept_waiting(cx);
    }

    fn accept_waiting(&mut self, cx: CX![]) {
        while let Some(listener) = &self.listener {
            match listener.accept() {
                Ok((stream, _)) if self.open < self.bounds.get().connections => {
                    self.open += 1;
                    let (bounds, form) = (self.bounds.clone(), self.form.clone());
                    let share = self.budget.share();
                    let handler = self.handler.clone();
                    let connection = actor_in_slab!(
                        self.connections,
                        cx,
                        Connection::init(stream, bounds, form, share, handler),
                        ret_some_to!([cx], close() as (StopCause))
                    );
                    if self.is_winding_down {
                        call!([connection], wind_down());
                    }
                }
                Ok(_) => self.handler.fwd(Event::Refused { reason: "connections" }),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return,
            }
        }
    }
}
