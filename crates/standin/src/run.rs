//! Starts a stand-in on threads of its own.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use declare::Labels;
use entry::{Bounds, ChatForm, Server};
use eventloop::{Loop, Sender, mailbox};
use names::{DataCentre, Incarnation, Model, Upstream};
use stakker::{Fwd, actor, fwd_to, ret_shutdown};
use units::Span;
use upstream::{Announcement, Protocol};

use crate::announcer::Announcer;
use crate::reporter::Reporter;
use crate::{Behaviour, Engine, Error, Service};

/// What a stand-in does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Work {
    /// Serves a model.
    Engine(Model),
    /// Books.
    Service,
}

/// How a stand-in behaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Its name.
    pub name: Upstream,
    /// Its run.
    pub incarnation: Incarnation,
    /// The data centre that it says it is in.
    pub data_centre: DataCentre,
    /// Where it listens; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Operators' addresses of the instances that it announces itself to.
    pub instances: Vec<SocketAddr>,
    /// Token for announcements.
    pub token: Option<String>,
    /// What it does.
    pub work: Work,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Labels that it announces.
    pub labels: Labels,
    /// Time between two words of an answer, or the time that a booking takes.
    pub word_interval: Span,
    /// Time to compute one block of a prompt that is not cached.
    pub prefill_per_block: Span,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// File to which a service appends what ran, so that its journal outlives it.
    pub journal: Option<PathBuf>,
    /// How long an announcement holds; it is renewed three times in that time.
    pub expires_in: Span,
    /// How it misbehaves and reports.
    pub behaviour: Behaviour,
}

impl Options {
    fn announcement(&self, address: SocketAddr) -> Announcement {
        let (protocol, models) = match &self.work {
            Work::Engine(model) => (Protocol::ChatCompletions, vec![model.clone()]),
            Work::Service => (Protocol::Plain, Vec::new()),
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
            moves_context: matches!(self.work, Work::Engine(_)),
        }
    }
}

const BOUNDS: Bounds = Bounds {
    head_bytes: 16 << 10,
    body_bytes: 16 << 20,
    incoming_bytes: 256 << 20,
    unread_bytes: 1 << 20,
    connections: 8192,
    receive: Duration::from_secs(30),
    idle: Duration::from_secs(300),
    unread: Duration::from_secs(30),
};

/// A running stand-in.
pub struct Running {
    address: SocketAddr,
    announcement: Arc<Mutex<Announcement>>,
    stopped: Arc<AtomicBool>,
    announcer: Option<JoinHandle<()>>,
    server: Option<JoinHandle<()>>,
    stop: Sender<()>,
}

impl Running {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Announces that it wants no new work, at once and from then on.
    pub fn leave(&self) {
        self.announcement.lock().unwrap_or_else(PoisonError::into_inner).is_leaving = true;
        if let Some(announcer) = &self.announcer {
            announcer.thread().unpark();
        }
    }

    /// Ends it without a word, as a crash would.
    pub fn stop(mut self) {
        self.end();
    }

    /// Waits until it ends.
    pub fn wait(mut self) {
        if let Some(server) = self.server.take() {
            let _ = server.join();
        }
    }

    fn end(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
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
        self.end();
    }
}

/// Starts a stand-in.
///
/// # Errors
///
/// [`Error::Listen`] when its address is taken.
pub fn start(options: Options) -> Result<Running, Error> {
    let listen = |source| Error::Listen { address: options.listen, source };
    let listener = TcpListener::bind(options.listen).map_err(listen)?;
    listener.set_nonblocking(true).map_err(listen)?;
    let address = listener.local_addr().map_err(listen)?;
    let (ready, started) = std::sync::mpsc::sync_channel(1);
    let work = options.clone();
    let announcement = Arc::new(Mutex::new(options.announcement(address)));
    let announced = announcement.clone();
    let server = std::thread::Builder::new()
        .name(format!("standin-{}", options.name))
        .spawn(move || serve(work, announced, listener, &ready))
        .map_err(Error::Thread)?;
    let stop = started
        .recv()
        .map_err(|_| Error::Thread(std::io::Error::other("the event loop did not start")))?;
    let stopped = Arc::new(AtomicBool::new(false));
    let announcer = Announcer {
        instances: options.instances.clone(),
        token: options.token.clone(),
        announcement: announcement.clone(),
        period: options.expires_in.as_duration() / 3,
        stopped: stopped.clone(),
    };
    let announcer = std::thread::Builder::new()
        .name(format!("announcer-{}", options.name))
        .spawn(move || announcer.run())
        .map_err(Error::Thread)?;
    Ok(Running {
        address,
        announcement,
        stopped,
        announcer: Some(announcer),
        server: Some(server),
        stop,
    })
}

fn serve(
    options: Options,
    announced: Arc<Mutex<Announcement>>,
    listener: TcpListener,
    ready: &std::sync::mpsc::SyncSender<Sender<()>>,
) {
    let mut event_loop = match Loop::new() {
        Ok(event_loop) => event_loop,
        Err(error) => {
            log::error!("{error}");
            return;
        }
    };
    let stakker = event_loop.stakker();
    let handler: Fwd<entry::Event>;
    let _engine;
    let _service;
    match options.work {
        Work::Engine(_) => {
            let (reports, received) = std::sync::mpsc::channel();
            let reporter = Reporter::new(&options);
            let thread = std::thread::Builder::new().name(format!("reporter-{}", options.name));
            if let Err(error) = thread.spawn(move || reporter.run(received)) {
                log::error!("{error}");
                return;
            }
            let engine =
                actor!(stakker, Engine::init(options, announced, reports), ret_shutdown!(stakker));
            handler = fwd_to!([engine], handle() as (entry::Event));
            _engine = engine;
        }
        Work::Service => {
            let service = actor!(stakker, Service::init(options), ret_shutdown!(stakker));
            handler = fwd_to!([service], handle() as (entry::Event));
            _service = service;
        }
    }
    let _server = actor!(
        stakker,
        Server::init(listener, BOUNDS, Rc::new(ChatForm), handler),
        ret_shutdown!(stakker)
    );
    let deferrer = stakker.deferrer();
    let stop =
        Fwd::new(move |()| deferrer.defer(|stakker| stakker.shutdown(stakker::StopCause::Stopped)));
    let _ = ready.send(mailbox(stakker, stop));
    if let Err(error) = event_loop.run() {
        log::error!("{error}");
    }
}
