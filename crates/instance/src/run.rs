//! Start of an instance and its event loop.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use eventloop::Loop;
use settings::{Listen, Settings};
use stakker::{ActorOwn, StopCause, actor, ret_shutdown};
use telemetry::Metrics;
use wire::{Sockets, Traffic};

use crate::root::{Root, RootConfig};
use crate::traffic::TrafficCollector;
use crate::{Error, Stop};

/// Listening sockets of an instance, bound before the instance starts so that errors surface early.
pub struct Bound {
    pub(crate) callers: TcpListener,
    pub(crate) operators: TcpListener,
    pub(crate) peers: Sockets,
}

impl Bound {
    /// Binds the listening addresses from `settings`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Listen`] or [`Error::Wire`] if an address cannot be bound.
    pub fn new(settings: &Settings) -> Result<Self, Error> {
        let Listen { callers, operators, .. } = &settings.listen;
        let callers = eventloop::listen(*callers).map_err(listen_error("callers", *callers))?;
        let operators =
            eventloop::listen(*operators).map_err(listen_error("operators", *operators))?;
        let peers = Sockets::bind(settings.listen.peers)?;
        Ok(Self { callers, operators, peers })
    }
}

fn listen_error(what: &'static str, address: SocketAddr) -> impl FnOnce(std::io::Error) -> Error {
    move |source| Error::Listen { what, address, source }
}

/// Runs the instance until a shutdown is requested through `stop` and all requests in flight have
/// been answered.
///
/// # Errors
///
/// Returns an error if the declarations cannot be read or an actor of the instance fails.
pub fn run(settings: Settings, bound: Bound, stop: &Stop) -> Result<(), Error> {
    let traffic = Arc::new(Traffic::default());
    let mut metrics = Metrics::new();
    metrics.add_collector(Box::new(TrafficCollector::new(traffic.clone())));
    let metrics = Arc::new(metrics);
    let mut event_loop = Loop::new()?;
    let stakker = event_loop.stakker();
    let config = RootConfig { settings, bound, metrics, traffic, stop: stop.clone() };
    let _root: ActorOwn<Root> = actor!(stakker, Root::init(config), ret_shutdown!(stakker));
    event_loop.run()?;
    match event_loop.stakker().shutdown_reason() {
        Some(StopCause::Failed(error)) => Err(Error::Failed { reason: error.to_string() }),
        _ => Ok(()),
    }
}
