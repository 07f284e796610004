//! Starts an instance and runs it until it stops.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use eventloop::Loop;
use instance::{Stop, TrafficCollector};
use settings::{Role, Settings};
use stakker::{ActorOwn, StopCause, actor, ret_shutdown};
use telemetry::Metrics;
use wire::{Sockets, Traffic};

use crate::root::{InstanceParts, Root};
use crate::{Error, Interface};

/// Source of changed settings while the instance runs.
pub trait SettingsSource {
    /// Returns the settings if they have changed since the last call.
    ///
    /// # Errors
    ///
    /// An error if the changed settings cannot be used.
    fn changed(&mut self) -> Result<Option<Settings>, settings::Error>;
}

/// The bound sockets of an instance. They are bound before the instance starts, so that errors are
/// reported early.
pub struct Bound {
    pub(crate) callers: Option<TcpListener>,
    pub(crate) ready: Option<TcpListener>,
    pub(crate) control: Option<TcpListener>,
    pub(crate) metrics: Option<TcpListener>,
    pub(crate) peers: Sockets,
}

impl Bound {
    /// Binds the addresses that the roles in `settings` need.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] or [`Error::Wire`] if an address cannot be bound, [`Error::Missing`] if
    /// the settings name no seeds.
    pub fn new(settings: &Settings) -> Result<Self, Error> {
        if !settings.is_seeded() {
            return Err(Error::Missing { what: "seeds", help: "name control instances" });
        }
        let listen = &settings.listen;
        let has_role = |role| settings.has_role(role);
        let ready = listen.ready.filter(|_| has_role(Role::Entry));
        let callers = has_role(Role::Entry).then_some(listen.callers);
        let control = has_role(Role::Control).then_some(listen.operators);
        Ok(Self {
            callers: callers.map(|address| bind("callers", address)).transpose()?,
            ready: ready.map(|address| bind("readiness", address)).transpose()?,
            control: control.map(|address| bind("operators", address)).transpose()?,
            metrics: listen.metrics.map(|address| bind("metrics", address)).transpose()?,
            peers: Sockets::bind(listen.peers)?,
        })
    }
}

fn bind(what: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    let listen_error = |source| Error::Listen { what, address, source };
    eventloop::listen(address).map_err(listen_error)
}

/// Runs the instance until `stop` is requested and all requests in flight are answered.
///
/// # Errors
///
/// An error if a part of the instance fails.
pub fn run(
    settings: Settings,
    interface: Interface,
    source: Box<dyn SettingsSource>,
    bound: Bound,
    stop: &Stop,
) -> Result<(), Error> {
    let traffic = Arc::new(Traffic::default());
    let mut metrics = Metrics::new();
    metrics.add_collector(Box::new(TrafficCollector::new(traffic.clone())));
    let metrics = Arc::new(metrics);
    let mut event_loop = Loop::new()?;
    let stakker = event_loop.stakker();
    let stop = stop.clone();
    let parts = InstanceParts { settings, interface, source, bound, metrics, traffic, stop };
    let _root: ActorOwn<Root> = actor!(stakker, Root::init(parts), ret_shutdown!(stakker));
    event_loop.run()?;
    match event_loop.stakker().shutdown_reason() {
        Some(StopCause::Failed(error)) => Err(Error::Failed { reason: error.to_string() }),
        _ => Ok(()),
    }
}
