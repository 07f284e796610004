//! The actor that accepts connections from callers.

use std::cell::Cell;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use stakker::{ActorOwnSlab, CX, Fwd, StopCause, actor_in_slab, call, fail, fwd_to, ret_some_to};
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpListener;
use stakker_mio::{MioPoll, MioSource, Ready};

use crate::budget::Budget;
use crate::connection::{Budgets, CONNECTION_BYTES, Connection, Holds};
use crate::output_budget::OutputBudget;
use crate::{Event, Form, Memory};

/// Priority of callers' sockets in the event loop.
pub(crate) const SOCKET_PRIORITY: u32 = 5;

/// Limits of a server and its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum size of a request line with its headers, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Number of copies of a request body that exist while the request is handled: the body, and the
    /// output to its upstream.
    pub body_copies: usize,
    /// Maximum size of the incomplete requests of all connections together, in bytes.
    pub incoming_bytes: usize,
    /// Maximum size of the unsent output of a streamed answer, in bytes. Without a value, only the
    /// limits of all answers together apply.
    pub unread_bytes: Option<usize>,
    /// Maximum size of the unsent output of the streamed answers of all connections together, in
    /// bytes.
    pub unread_total_bytes: usize,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Time within which a request must arrive completely.
    pub receive: Duration,
    /// Time that a connection may stay open without a request after an answer.
    pub idle: Duration,
    /// Time that an answer may wait for the caller to read more of it.
    pub unread: Duration,
}

/// Actor that accepts connections and owns their actors.
pub struct Server {
    listener: Option<MioSource<TcpListener>>,
    connections: ActorOwnSlab<Connection>,
    open_connections: usize,
    bounds: Rc<Cell<Bounds>>,
    form: Rc<dyn Form>,
    is_winding_down: bool,
    budgets: Budgets,
    memory: Memory,
    handler: Fwd<Event>,
    /// Called when the last connection has closed; set once the server drains.
    drained: Option<Fwd<()>>,
}

impl Server {
    /// Starts accepting connections on `listener`. Requests go to `handler`. All bytes are reserved
    /// in `memory`. The actor fails if the socket cannot be registered with the event loop.
    pub fn init(
        cx: CX![],
        listener: std::net::TcpListener,
        bounds: Bounds,
        form: Rc<dyn Form>,
        memory: Memory,
        handler: Fwd<Event>,
    ) -> Option<Self> {
        let ready = fwd_to!([cx], accept() as (Ready));
        let source = TcpListener::from_std(listener);
        let poll = cx.anymap_get::<MioPoll>();
        match poll.add(source, Interest::READABLE, SOCKET_PRIORITY, ready) {
            Ok(listener) => Some(Self {
                listener: Some(listener),
                connections: ActorOwnSlab::new(),
                open_connections: 0,
                bounds: Rc::new(Cell::new(bounds)),
                form,
                is_winding_down: false,
                budgets: Budgets {
                    input: Budget::new(bounds.incoming_bytes),
                    output: OutputBudget::new(bounds.unread_total_bytes),
                },
                memory,
                handler,
                drained: None,
            }),
            Err(error) => {
                fail!(cx, error);
                None
            }
        }
    }

    /// Changes the limits, also for open connections. Deadlines that are already set do not change.
    pub fn set_bounds(&mut self, _: CX![], bounds: Bounds) {
        self.bounds.set(bounds);
    }

    /// Closes every connection after its next answer, while new connections are still accepted, so
    /// that callers move to other instances without losing a request.
    pub fn wind_down(&mut self, _: CX![]) {
        self.is_winding_down = true;
        for connection in &self.connections {
            call!([connection], wind_down());
        }
    }

    /// Accepts the connections that are already established and then stops accepting. Connections
    /// close after their current answer, idle connections immediately, and new connections after a
    /// short time without a request. `drained` is called when the last connection has closed.
    pub fn drain(&mut self, cx: CX![], drained: Fwd<()>) {
        self.accept_pending(cx);
        self.listener = None;
        self.drained = Some(drained);
        for connection in &self.connections {
            call!([connection], drain());
        }
        self.check_drained();
    }

    fn check_drained(&self) {
        if let Some(drained) = &self.drained
            && self.open_connections == 0
        {
            drained.fwd(());
        }
    }

    fn connection_closed(&mut self, _: CX![], _: StopCause) {
        self.open_connections -= 1;
        self.check_drained();
    }

    fn accept(&mut self, cx: CX![], _: Ready) {
        self.accept_pending(cx);
    }

    fn accept_pending(&mut self, cx: CX![]) {
        while let Some(listener) = &self.listener {
            match listener.accept() {
                Ok((stream, address)) if self.open_connections < self.bounds.get().connections => {
                    let caller = self.memory.caller(address.ip());
                    let mut buffers = caller.hold();
                    if !buffers.resize(CONNECTION_BYTES) {
                        self.handler.fwd(Event::Refused { reason: "memory" });
                        continue;
                    }
                    self.open_connections += 1;
                    let holds =
                        Holds { buffers, input: caller.hold(), output: caller.output_hold() };
                    let (bounds, form) = (self.bounds.clone(), self.form.clone());
                    let (budgets, handler) = (self.budgets.clone(), self.handler.clone());
                    let connection = actor_in_slab!(
                        self.connections,
                        cx,
                        Connection::init(stream, bounds, form, (budgets, holds), handler),
                        ret_some_to!([cx], connection_closed() as (StopCause))
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
