//! Actor that owns the HTTP server of a stand-in, and plays crashes of its process.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use entry::{Bounds, ChatForm, Event, Memory, Server};
use stakker::{ActorOwn, CX, Fwd, StopCause, actor, after, ret_some_to, stop};
use upstream::Announcement;

/// Limits of the HTTP server.
const SERVER_BOUNDS: Bounds = Bounds {
    head_bytes: 16 << 10,
    body_bytes: 16 << 20,
    body_copies: 1,
    incoming_bytes: 256 << 20,
    unread_bytes: Some(1 << 20),
    unread_total_bytes: 256 << 20,
    connections: 8192,
    receive: Duration::from_secs(30),
    idle: Duration::from_secs(300),
    unread: Duration::from_secs(30),
};

/// Memory that a stand-in may use, in bytes.
const MEMORY_BYTES: usize = 4 << 30;

/// Time after a crash at which the stand-in returns.
const RESTART_DELAY: Duration = Duration::from_secs(2);

/// Owns the HTTP server of a stand-in.
pub(crate) struct Host {
    announcement: Arc<Mutex<Announcement>>,
    /// Whether the stand-in has crashed and has not returned yet.
    is_down: Arc<AtomicBool>,
    address: Option<SocketAddr>,
    handler: Option<Fwd<Event>>,
    server: Option<ActorOwn<Server>>,
}

impl Host {
    pub(crate) fn init(
        _: CX![],
        announcement: Arc<Mutex<Announcement>>,
        is_down: Arc<AtomicBool>,
    ) -> Option<Self> {
        Some(Self { announcement, is_down, address: None, handler: None, server: None })
    }

    /// Serves `listener`; requests go to `handler`.
    pub(crate) fn listen(&mut self, cx: CX![], listener: TcpListener, handler: Fwd<Event>) {
        self.address = listener.local_addr().ok();
        self.handler = Some(handler.clone());
        let memory = Memory::new(MEMORY_BYTES);
        let server = actor!(
            cx,
            Server::init(listener, SERVER_BOUNDS, Rc::new(ChatForm), memory, handler),
            ret_some_to!([cx], server_ended() as (StopCause))
        );
        self.server = Some(server);
    }

    /// Ends the stand-in if its server has failed.
    fn server_ended(&mut self, cx: CX![], cause: StopCause) {
        if let StopCause::Failed(error) = cause {
            log::error!("the server of the stand-in failed: {error}; the stand-in ends");
            stop!(cx);
        }
    }

    /// Closes all connections and the listener for [`RESTART_DELAY`].
    pub(crate) fn crash(&mut self, cx: CX![], _: ()) {
        if self.server.take().is_some() {
            self.is_down.store(true, Ordering::Relaxed);
            after!(RESTART_DELAY, [cx], restart());
        }
    }

    fn restart(&mut self, cx: CX![]) {
        let (Some(address), Some(handler)) = (self.address, self.handler.clone()) else {
            return;
        };
        let listener = TcpListener::bind(address).and_then(|listener| {
            listener.set_nonblocking(true)?;
            Ok(listener)
        });
        match listener {
            Ok(listener) => {
                let mut announcement =
                    self.announcement.lock().unwrap_or_else(PoisonError::into_inner);
                announcement.incarnation.0 += 1;
                drop(announcement);
                self.is_down.store(false, Ordering::Relaxed);
                self.listen(cx, listener, handler);
            }
            Err(error) => {
                log::warn!("the stand-in cannot listen on {address}: {error}; trying again");
                after!(RESTART_DELAY, [cx], restart());
            }
        }
    }
}
