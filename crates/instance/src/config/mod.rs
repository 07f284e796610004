//! The actor that keeps the declarations in force.
//!
//! Voters learn revisions from the replicated log, all others from peers. A newer revision is
//! written to the data folder, where there is one, before it is put in force, so that a restart
//! never goes back. An instance without a stored revision asks peers and the log, and is not ready
//! before one of them has answered.

mod access;
mod gossip;
mod held;
mod keeper;
mod order;
mod packet;
mod page;
mod reading;

use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use declare::{Command, Declarations, Document, Outcome, Revision, Revisions, View};
use eventloop::mailbox;
use names::Instance;
use operator::Response;
use settings::Settings;
use stakker::{Actor, CX, Fwd, after, call, fwd_to, ret_to};
use state::{Index, Proposed};
use telemetry::Metrics;
use wire::{Delivery, Hub};

use crate::Error;
use crate::operators::Ask;
use crate::replica::{Part, Replica};
pub(crate) use access::Access;
use gossip::Peer;
use held::Held;
use keeper::{Keeper, Kept, Stored};
use order::Draft;
pub(crate) use order::document as read_document;
use packet::{Packet, Status};
use reading::PassedAsk;

/// How often an instance that does not know the newest revision asks the replicated log.
const SETTLE_PERIOD: Duration = Duration::from_millis(500);

/// How long an order waits for its base revision to arrive.
const BASE_WAIT: Duration = Duration::from_secs(3);

/// Where the actor gets and puts things.
pub(crate) struct Surroundings {
    pub(crate) settings: Rc<Settings>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) replica: Actor<Replica>,
    pub(crate) hub: Actor<Hub>,
    pub(crate) in_force: Vec<Fwd<Rc<Declarations>>>,
}

/// A revision on its way into force.
struct Candidate {
    revision: Revision,
    document: Rc<Document>,
}

impl From<&View> for Candidate {
    fn from(view: &View) -> Self {
        Self { revision: view.revision(), document: view.document().clone() }
    }
}

/// An order whose base revision has not arrived.
struct Waiting {
    ask: Ask,
    draft: Draft,
    deadline: Instant,
}

/// What a peer told last of itself.
struct Heard {
    instance: Instance,
    at: Instant,
    status: Status,
}

/// Keeps the declarations in force and hands them to the actors that use them.
pub(crate) struct Config {
    around: Surroundings,
    access: Access,
    keeper: Option<Keeper>,
    revisions: Option<Rc<RefCell<Revisions>>>,
    view: View,
    storing: Option<Candidate>,
    bootstrap: Rc<Declarations>,
    declarations: Rc<Declarations>,
    in_force: Revision,
    is_ready: bool,
    peers: Vec<Peer>,
    waiting: Vec<Waiting>,
    held: Vec<Held>,
    heard: Vec<Heard>,
    diverged: Vec<Instance>,
    passed: Vec<PassedAsk>,
    last_passed: u64,
}

fn read(path: &Path) -> Result<Declarations, Error> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| Error::File { path: path.display().to_string(), source })?;
    Declarations::try_from(text)
        .map_err(|source| Error::Declarations { path: path.display().to_string(), source })
}

fn bootstrap(settings: &Settings) -> Result<Declarations, Error> {
    settings.bootstrap_declarations.as_deref().map_or_else(|| Ok(Declarations::default()), read)
}

/// The revision in the data folder; an empty view when there is none that can be used.
fn stored_view(data_folder: Option<&Path>, metrics: &Metrics) -> View {
    match data_folder.map_or(Kept::Nothing, keeper::read) {
        Kept::Nothing => View::default(),
        Kept::Whole(view) => *view,
        Kept::Damaged { path, problem } => {
            metrics.count_refused("damaged_revision");
            log::error!(
                "stored revision \"{path}\" is damaged: {problem}; peers are asked instead"
            );
            View::default()
        }
    }
}

impl Config {
    pub(crate) fn init(cx: CX![], around: Surroundings) -> Option<Self> {
        match Self::build(cx, around) {
            Ok(mut config) => {
                config.start(cx);
                Some(config)
            }
            Err(error) => {
                stakker::fail!(cx, error);
                None
            }
        }
    }

    fn build(cx: CX![], around: Surroundings) -> Result<Self, Error> {
        let settings = around.settings.clone();
        let bootstrap = Rc::new(bootstrap(&settings)?);
        let data_folder = settings.data_folder.as_deref();
        let view = stored_view(data_folder, &around.metrics);
        let stored = fwd_to!([cx], stored() as (Stored));
        let stored = mailbox(cx, stored);
        let keeper = data_folder.map(|folder| Keeper::start(folder, stored)).transpose();
        let keeper = keeper.map_err(|error| Error::Failed { reason: error.to_string() })?;
        Ok(Self {
            access: Access::new(&settings),
            around,
            keeper,
            revisions: None,
            view,
            storing: None,
            bootstrap,
            declarations: Rc::default(),
            in_force: Revision::default(),
            is_ready: false,
            peers: gossip::configured(&settings),
            waiting: Vec::new(),
            held: Vec::new(),
            heard: Vec::new(),
            diverged: Vec::new(),
            passed: Vec::new(),
            last_passed: 0,
        })
    }

    fn start(&mut self, cx: CX![]) {
        if self.around.settings.voters.is_empty() {
            self.view.settle(Revision::default());
        }
        if self.view.is_settled() {
            self.put_in_force(&Candidate::from(&self.view));
        }
        let settings = &self.around.settings;
        if settings.may_vote() {
            let revisions = Rc::new(RefCell::new(Revisions::default()));
            self.revisions = Some(revisions.clone());
            let applied = fwd_to!([cx], applied() as (Index));
            call!([self.around.replica], attach(Part::Declare, revisions, applied));
        }
        self.tell_period(cx);
        self.ask_log(cx);
    }

    /// Whether the instance knows the declarations to serve by.
    pub(crate) fn ready(&mut self, _: CX![], ask: Ask) {
        let response = if self.is_ready {
            Response::text(200, "ready\n")
        } else {
            Response::text(503, "the newest revision of the declarations is not known yet\n")
        };
        ask.answer(response);
    }

    /// Answers a request of the operators' port under `/declarations`.
    pub(crate) fn answer(&mut self, cx: CX![], mut ask: Ask) {
        let document = ask.document.take().unwrap_or_default();
        let request = &ask.request;
        let path = request.path.clone();
        let is_order = request.method == "POST" && path != "/declarations/diff";
        let operator = match is_order {
            true => self.access.check_writer(request).map(Some),
            false => self.access.check_reader(request).map(|()| None),
        };
        match (operator, path.as_str()) {
            (Err(refusal), _) => {
                self.around.metrics.count_refused("operator");
                ask.answer(refusal);
            }
            (Ok(Some(operator)), "/declarations") => {
                let draft = Draft::apply(request, operator, document);
                self.take_order(cx, ask, draft);
            }
            (Ok(Some(operator)), "/declarations/rollback") => {
                let draft = Draft::roll_back(request, operator);
                self.take_order(cx, ask, draft);
            }
            (Ok(Some(_)), _) => {
                let message = format!("POST {path} does not exist");
                ask.answer(Response::error(404, "unknown_path", message));
            }
            (Ok(None), "/declarations/diff") if request.method == "POST" => {
                let response = self.compare(&document);
                ask.answer(response);
            }
            (Ok(None), _) => self.read(cx, ask),
        }
    }

    fn take_order(&mut self, cx: CX![], ask: Ask, draft: Result<Draft, Response>) {
        match draft {
            Err(problem) => ask.answer(problem),
            Ok(draft) if draft.base > self.view.revision() => {
                let deadline = cx.now() + BASE_WAIT;
                self.waiting.push(Waiting { ask, draft, deadline });
                after!(BASE_WAIT, [cx], resume_orders());
                self.tell(gossip::PEERS_AFTER_CHANGE);
            }
            Ok(draft) => self.propose(cx, ask, draft),
        }
    }

    /// Proposes the waiting orders whose base has arrived or that have waited long enough.
    fn resume_orders(&mut self, cx: CX![]) {
        let (now, newest) = (cx.now(), self.view.revision());
        let is_due =
            |waiting: &mut Waiting| waiting.draft.base <= newest || waiting.deadline <= now;
        let due: Vec<Waiting> = self.waiting.extract_if(.., is_due).collect();
        for waiting in due {
            self.propose(cx, waiting.ask, waiting.draft);
        }
    }

    fn propose(&mut self, cx: CX![], ask: Ask, draft: Draft) {
        match draft.command(&self.view) {
            Err(problem) => ask.answer(problem),
            Ok(command) => {
                let proposed = ret_to!([cx], proposed(ask, draft) as (Proposed));
                call!([self.around.replica], propose(Part::Declare, command, proposed));
            }
        }
    }

    fn proposed(&mut self, cx: CX![], ask: Ask, draft: Draft, proposed: Option<Proposed>) {
        let accepted = order::accepted(proposed.as_ref());
        let response = draft.answer(proposed);
        match accepted {
            Some(revision) if revision > self.in_force => self.hold(cx, ask, response, revision),
            _ => ask.answer(response),
        }
    }

    /// The replicated log has changed the revisions.
    fn applied(&mut self, cx: CX![], _: Index) {
        let newer = match &self.revisions {
            Some(revisions) => self.view.follow(&revisions.borrow()),
            None => false,
        };
        if newer {
            self.advance(cx);
        }
    }

    /// Asks the replicated log for the newest revision until it is known.
    fn ask_log(&mut self, cx: CX![]) {
        if self.view.is_settled() {
            return;
        }
        if let Ok(command) = wire::encode(&Command::Current) {
            let answered = ret_to!([cx], log_answered() as (Proposed));
            call!([self.around.replica], propose(Part::Declare, command, answered));
        }
        after!(SETTLE_PERIOD, [cx], ask_log());
    }

    fn log_answered(&mut self, cx: CX![], proposed: Option<Proposed>) {
        let Some(Proposed::Applied { outcome, .. }) = proposed else {
            return;
        };
        if let Ok(Outcome::Current { revision }) = wire::decode("outcome", &outcome)
            && self.view.settle(revision)
        {
            self.advance(cx);
        }
    }

    /// Stores, tells and puts in force what the view has learned.
    fn advance(&mut self, cx: CX![]) {
        self.tell(gossip::PEERS_AFTER_CHANGE);
        self.resume_orders(cx);
        match &self.keeper {
            Some(_) if self.view.revision() > self.in_force => self.store(),
            _ => self.put_in_force(&Candidate::from(&self.view)),
        }
    }

    fn store(&mut self) {
        if let (Some(keeper), None) = (&self.keeper, &self.storing) {
            self.storing = Some(Candidate::from(&self.view));
            keeper.store(&self.view);
        }
    }

    /// A revision was written, or could not be.
    fn stored(&mut self, _: CX![], stored: Stored) {
        if let Some(problem) = &stored.problem {
            self.around.metrics.count_refused("revision_not_stored");
            log::error!("revision {} is not stored: {problem}", stored.revision);
        }
        if let Some(candidate) = self.storing.take() {
            self.put_in_force(&candidate);
        }
        if self.view.revision() > stored.revision {
            self.store();
        }
    }

    fn put_in_force(&mut self, candidate: &Candidate) {
        let revision = candidate.revision;
        if self.is_ready && revision <= self.in_force {
            return;
        }
        let declarations = if revision == Revision::default() {
            self.bootstrap.clone()
        } else {
            match Declarations::try_from(candidate.document.as_ref()) {
                Ok(declarations) => Rc::new(declarations),
                Err(error) => {
                    self.around.metrics.count_refused("invalid_revision");
                    log::error!("revision {revision} cannot be put in force: {error}");
                    return;
                }
            }
        };
        self.is_ready = true;
        self.in_force = revision;
        self.declarations = declarations;
        self.around.metrics.revision.set(i64::try_from(revision.0).unwrap_or(i64::MAX));
        for in_force in &self.around.in_force {
            in_force.fwd(self.declarations.clone());
        }
        log::info!("declarations: revision {revision} is in force");
        self.answer_held();
    }

    /// Takes a message of a peer.
    pub(crate) fn deliver(&mut self, cx: CX![], delivery: Delivery) {
        match wire::decode("declarations", &delivery.payload) {
            Ok(Packet::Gossip(message)) => self.hear(cx, delivery.sender, message),
            Ok(Packet::Probe) => {
                let status = Packet::Status(self.status());
                self.send(&delivery.sender, &status);
            }
            Ok(Packet::Status(status)) => self.note_status(cx.now(), delivery.sender, status),
            Ok(Packet::Passed(passed)) => self.answer_passed(&delivery.sender, passed),
            Ok(Packet::Told(told)) => self.take_told(told),
            Err(error) => log::debug!("instance {}: {error}", delivery.sender),
        }
    }
}
