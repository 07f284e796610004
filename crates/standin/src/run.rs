//! Starts a stand-in on its own threads and stops it.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

use declare::Labels;
use eventloop::{Loop, Sender, mailbox};
use names::{DataCentre, Incarnation, Model, Upstream};
use stakker::{Fwd, actor, call, fwd_to, ret_shutdown};
use units::Span;
use upstream::{Announcement, Protocol};

use crate::announcer::Announcer;
use crate::host::Host;
use crate::reporter::Reporter;
use crate::{Behaviour, Engine, Error, Service};

/// Kind of upstream that a stand-in replaces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamKind {
    /// Engine that serves a model.
    Engine(Model),
    /// Plain service that runs each call once, such as a booking service.
    Service,
}

/// Options of a stand-in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Name of the upstream.
    pub name: Upstream,
    /// Incarnation of the upstream, which tells its runs apart.
    pub incarnation: Incarnation,
    /// Data centre that the stand-in announces.
    pub data_centre: DataCentre,
    /// Listen address; with port 0 the operating system chooses the port.
    pub listen: SocketAddr,
    /// Operator addresses of the instances to which the stand-in announces itself.
    pub instances: Vec<SocketAddr>,
    /// Token that authorises announcements and reports.
    pub token: Option<String>,
    /// Kind of upstream to replace.
    pub kind: UpstreamKind,
    /// Number of requests that the stand-in processes at once.
    pub slots: u32,
    /// Labels that the stand-in announces.
    pub labels: Labels,
    /// Time between two words of a response, or the duration of a call to a plain service.
    pub word_interval: Span,
    /// Time to compute a block of a prompt that is not cached.
    pub prefill_per_block: Span,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// File to which a plain service appends the calls that ran, so that its journal survives
    /// restarts.
    pub journal: Option<PathBuf>,
    /// Time after which an announcement expires; it is renewed every third of this time.
    pub expires_in: Span,
    /// Fencing checks and reports of the stand-in.
    pub behaviour: Behaviour,
}

impl Options {
    fn announcement(&self, address: SocketAddr) -> Announcement {
        let (protocol, models) = match &self.kind {
            UpstreamKind::Engine(model) => (Protocol::ChatCompletions, vec![model.clone()]),
            UpstreamKind::Service => (Protocol::Plain, Vec::new()),
        };
        Announcement {
            upstream: self.name.clone(),
            incarnation: self.incarnation,
            data_centre: self.data_centre.clone(),
            address,
            protocol,
            models,
            slots: self.slots,
            labels: self.labels.clone(),
            expires_in: self.expires_in,
            is_leaving: false,
            checks_fencing: self.behaviour.checks_fencing,
            moves_context: matches!(self.kind, UpstreamKind::Engine(_)),
        }
    }
}

/// Running stand-in, which stops when it is dropped.
pub struct Running {
    address: SocketAddr,
    announcement: Arc<Mutex<Announcement>>,
    is_stopped: Arc<AtomicBool>,
    announcer: Option<JoinHandle<()>>,
    server: Option<JoinHandle<()>>,
    stop: Sender<()>,
}

impl Running {
    /// Returns the address on which the stand-in listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts draining: announces immediately, and from then on, that the stand-in is leaving.
    pub fn drain(&self) {
        self.announcement.lock().unwrap_or_else(PoisonError::into_inner).is_leaving = true;
        if let Some(announcer) = &self.announcer {
            announcer.thread().unpark();
        }
    }

    /// Stops the stand-in without announcing that it is leaving, as in a crash.
    pub fn stop(mut self) {
        self.shut_down();
    }

    /// Waits until the stand-in has stopped.
    pub fn wait(mut self) {
        if let Some(server) = self.server.take() {
            let _ = server.join();
        }
    }

    fn shut_down(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.stop.send(());
        if let Some(announcer) = self.announcer.take() {
            announcer.thread().unpark();
        }
        if let Some(server) = self.server.take() {
            let _ = server.join();
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.shut_down();
    }
}

/// Starts a stand-in, which announces itself until it is stopped.
///
/// # Errors
///
/// Returns [`Error::Listen`] if the address cannot be bound and [`Error::Thread`] if a thread or
/// the event loop cannot be started.
pub fn start(options: Options) -> Result<Running, Error> {
    let listen_error = |source| Error::Listen { address: options.listen, source };
    let listener = TcpListener::bind(options.listen).map_err(listen_error)?;
    listener.set_nonblocking(true).map_err(listen_error)?;
    let address = listener.local_addr().map_err(listen_error)?;
    let (stop_sender, stop_receiver) = std::sync::mpsc::sync_channel(1);
    let server_options = options.clone();
    let announcement = Arc::new(Mutex::new(options.announcement(address)));
    let shared_announcement = announcement.clone();
    let is_down = Arc::new(AtomicBool::new(false));
    let host_is_down = is_down.clone();
    let server = std::thread::Builder::new()
        .name(format!("standin-{}", options.name))
        .spawn(move || {
            serve(server_options, shared_announcement, host_is_down, listener, &stop_sender)
        })
        .map_err(Error::Thread)?;
    let stop = stop_receiver
        .recv()
        .map_err(|_| Error::Thread(std::io::Error::other("the event loop did not start")))?;
    let is_stopped = Arc::new(AtomicBool::new(false));
    let announcer = Announcer {
        instances: options.instances.clone(),
        token: options.token.clone(),
        announcement: announcement.clone(),
        period: options.expires_in.as_duration() / 3,
        is_stopped: is_stopped.clone(),
        is_down,
    };
    let announcer = std::thread::Builder::new()
        .name(format!("announcer-{}", options.name))
        .spawn(move || announcer.run())
        .map_err(Error::Thread)?;
    Ok(Running {
        address,
        announcement,
        is_stopped,
        announcer: Some(announcer),
        server: Some(server),
        stop,
    })
}

/// Runs the event loop of a stand-in on the current thread until it is stopped.
///
/// Sends the sender that stops the event loop to `stop_sender` before the loop starts.
fn serve(
    options: Options,
    shared_announcement: Arc<Mutex<Announcement>>,
    is_down: Arc<AtomicBool>,
    listener: TcpListener,
    stop_sender: &std::sync::mpsc::SyncSender<Sender<()>>,
) {
    let mut event_loop = match Loop::new() {
        Ok(event_loop) => event_loop,
        Err(error) => {
            log::error!("cannot create the event loop: {error}; the stand-in does not start");
            return;
        }
    };
    let stakker = event_loop.stakker();
    let host =
        actor!(stakker, Host::init(shared_announcement.clone(), is_down), ret_shutdown!(stakker));
    let handler: Fwd<entry::Event>;
    let _engine;
    let _service;
    match options.kind {
        UpstreamKind::Engine(_) => {
            let (report_sender, report_receiver) = std::sync::mpsc::channel();
            let reporter = Reporter::new(&options);
            let thread = std::thread::Builder::new().name(format!("reporter-{}", options.name));
            if let Err(error) = thread.spawn(move || reporter.run(report_receiver)) {
                log::error!(
                    "cannot start the reporter thread: {error}; the stand-in does not start"
                );
                return;
            }
            let crash = fwd_to!([host], crash() as (()));
            let engine = actor!(
                stakker,
                Engine::init(options, shared_announcement, report_sender, crash),
                ret_shutdown!(stakker)
            );
            handler = fwd_to!([engine], handle() as (entry::Event));
            _engine = engine;
        }
        UpstreamKind::Service => {
            let crash = fwd_to!([host], crash() as (()));
            let service = actor!(stakker, Service::init(options, crash), ret_shutdown!(stakker));
            handler = fwd_to!([service], handle() as (entry::Event));
            _service = service;
        }
    }
    call!([host], listen(listener, handler));
    let deferrer = stakker.deferrer();
    let stop =
        Fwd::new(move |()| deferrer.defer(|stakker| stakker.shutdown(stakker::StopCause::Stopped)));
    let _ = stop_sender.send(mailbox(stakker, stop));
    if let Err(error) = event_loop.run() {
        log::error!("the event loop of the stand-in failed: {error}; the stand-in has stopped");
    }
}
