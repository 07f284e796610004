//! Actor that manages the declarations in force.
//!
//! Voters learn revisions from the replicated log, all other instances from gossip with peers. If
//! there is a data folder, a newer revision is written to the folder before the revision is put in
//! force, so that a restart never goes back to an older revision. An instance without a stored
//! revision queries its peers and the log, and is not ready until one of them has responded.

mod access;
mod change_order;
mod gossip;
mod held_responses;
mod packet;
mod read_requests;
mod responses;
mod revision_store;

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
use state::{Index, ProposalOutcome};
use telemetry::Metrics;
use wire::{Delivery, Hub};

use crate::Error;
use crate::operators::PendingRequest;
use crate::replica::{Part, Replica};
pub(crate) use access::Access;
use change_order::ChangeOrder;
pub(crate) use change_order::read_document;
use gossip::Peer;
use held_responses::HeldResponse;
use packet::{Packet, Status};
use read_requests::ForwardedRequest;
use revision_store::{RevisionStore, StoreOutcome, StoredRevision};

/// Interval at which an instance that does not know the newest revision queries the replicated log.
const LOG_QUERY_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum time that an order waits for its base revision to arrive.
const BASE_REVISION_TIMEOUT: Duration = Duration::from_secs(3);

/// Settings and other actors that [`Config`] depends on.
pub(crate) struct Dependencies {
    pub(crate) settings: Rc<Settings>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) replica: Actor<Replica>,
    pub(crate) hub: Actor<Hub>,
    pub(crate) declaration_listeners: Vec<Fwd<Rc<Declarations>>>,
}

/// A revision that is about to be put in force.
struct PendingRevision {
    revision: Revision,
    document: Rc<Document>,
}

impl From<&View> for PendingRevision {
    fn from(view: &View) -> Self {
        Self { revision: view.revision(), document: view.document().clone() }
    }
}

/// An order whose base revision has not arrived yet.
struct WaitingOrder {
    pending: PendingRequest,
    order: ChangeOrder,
    deadline: Instant,
}

/// Latest status that a peer reported.
struct PeerStatus {
    instance: Instance,
    at: Instant,
    status: Status,
}

/// Manages the declarations in force and distributes them to the actors that use them.
pub(crate) struct Config {
    dependencies: Dependencies,
    access: Access,
    revision_store: Option<RevisionStore>,
    revisions: Option<Rc<RefCell<Revisions>>>,
    view: View,
    revision_in_write: Option<PendingRevision>,
    bootstrap: Rc<Declarations>,
    declarations: Rc<Declarations>,
    in_force: Revision,
    is_ready: bool,
    peers: Vec<Peer>,
    waiting_orders: Vec<WaitingOrder>,
    held_responses: Vec<HeldResponse>,
    peer_statuses: Vec<PeerStatus>,
    diverged_peers: Vec<Instance>,
    forwarded_requests: Vec<ForwardedRequest>,
    last_forwarded_id: u64,
}

fn read_declarations(path: &Path) -> Result<Declarations, Error> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| Error::File { path: path.display().to_string(), source })?;
    Declarations::try_from(text)
        .map_err(|source| Error::Declarations { path: path.display().to_string(), source })
}

fn bootstrap_declarations(settings: &Settings) -> Result<Declarations, Error> {
    settings
        .bootstrap_declarations
        .as_deref()
        .map_or_else(|| Ok(Declarations::default()), read_declarations)
}

/// Returns the revision in the data folder, or an empty view if there is no valid revision.
fn stored_view(data_folder: Option<&Path>, metrics: &Metrics) -> View {
    match data_folder.map_or(StoredRevision::Missing, revision_store::read) {
        StoredRevision::Missing => View::default(),
        StoredRevision::Valid(view) => *view,
        StoredRevision::Corrupt { path, problem } => {
            metrics.count_refused("damaged_revision");
            log::error!(
                "stored revision \"{path}\" is damaged: {problem}; \
                 asking peers for the newest revision"
            );
            View::default()
        }
    }
}

impl Config {
    pub(crate) fn init(cx: CX![], dependencies: Dependencies) -> Option<Self> {
        match Self::build(cx, dependencies) {
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

    fn build(cx: CX![], dependencies: Dependencies) -> Result<Self, Error> {
        let settings = dependencies.settings.clone();
        let bootstrap = Rc::new(bootstrap_declarations(&settings)?);
        let data_folder = settings.data_folder.as_deref();
        let view = stored_view(data_folder, &dependencies.metrics);
        let outcomes = fwd_to!([cx], on_stored() as (StoreOutcome));
        let outcomes = mailbox(cx, outcomes);
        let revision_store =
            data_folder.map(|folder| RevisionStore::start(folder, outcomes)).transpose();
        let revision_store =
            revision_store.map_err(|error| Error::Failed { reason: error.to_string() })?;
        Ok(Self {
            access: Access::new(&settings),
            dependencies,
            revision_store,
            revisions: None,
            view,
            revision_in_write: None,
            bootstrap,
            declarations: Rc::default(),
            in_force: Revision::default(),
            is_ready: false,
            peers: gossip::configured_peers(&settings),
            waiting_orders: Vec::new(),
            held_responses: Vec::new(),
            peer_statuses: Vec::new(),
            diverged_peers: Vec::new(),
            forwarded_requests: Vec::new(),
            last_forwarded_id: 0,
        })
    }

    fn start(&mut self, cx: CX![]) {
        if self.dependencies.settings.voters.is_empty() {
            self.view.settle(Revision::default());
        }
        if self.view.is_settled() {
            self.put_in_force(&PendingRevision::from(&self.view));
        }
        let settings = &self.dependencies.settings;
        if settings.may_vote() {
            let revisions = Rc::new(RefCell::new(Revisions::default()));
            self.revisions = Some(revisions.clone());
            let applied = fwd_to!([cx], on_log_applied() as (Index));
            call!([self.dependencies.replica], attach(Part::Declare, revisions, applied));
        }
        self.gossip_periodically(cx);
        self.query_log(cx);
    }

    /// Responds to a readiness probe: ready once the newest revision is known.
    pub(crate) fn ready(&mut self, _: CX![], pending: PendingRequest) {
        let response = if self.is_ready {
            Response::text(200, "ready\n")
        } else {
            Response::text(503, "the newest revision of the declarations is not known yet\n")
        };
        pending.respond(response);
    }

    /// Handles a request on the operators' port for a path under `/declarations`.
    pub(crate) fn handle_request(&mut self, cx: CX![], mut pending: PendingRequest) {
        let document = pending.document.take().unwrap_or_default();
        let request = &pending.request;
        let path = request.path.clone();
        let is_order = request.method == "POST" && path != "/declarations/diff";
        let operator = match is_order {
            true => self.access.check_writer(request).map(Some),
            false => self.access.check_reader(request).map(|()| None),
        };
        match (operator, path.as_str()) {
            (Err(refusal), _) => {
                self.dependencies.metrics.count_refused("operator");
                pending.respond(refusal);
            }
            (Ok(Some(operator)), "/declarations") => {
                let order = ChangeOrder::apply(request, operator, document);
                self.handle_order(cx, pending, order);
            }
            (Ok(Some(operator)), "/declarations/rollback") => {
                let order = ChangeOrder::roll_back(request, operator);
                self.handle_order(cx, pending, order);
            }
            (Ok(Some(_)), _) => {
                let message = format!("POST {path} does not exist");
                pending.respond(Response::error(404, "unknown_path", message));
            }
            (Ok(None), "/declarations/diff") if request.method == "POST" => {
                let response = self.compare(&document);
                pending.respond(response);
            }
            (Ok(None), _) => self.read(cx, pending),
        }
    }

    fn handle_order(
        &mut self,
        cx: CX![],
        pending: PendingRequest,
        order: Result<ChangeOrder, Response>,
    ) {
        match order {
            Err(problem) => pending.respond(problem),
            Ok(order) if order.base > self.view.revision() => {
                let deadline = cx.now() + BASE_REVISION_TIMEOUT;
                self.waiting_orders.push(WaitingOrder { pending, order, deadline });
                after!(BASE_REVISION_TIMEOUT, [cx], propose_waiting_orders());
                self.gossip(gossip::FANOUT_AFTER_CHANGE);
            }
            Ok(order) => self.propose(cx, pending, order),
        }
    }

    /// Proposes the waiting orders whose base revision has arrived or whose wait has timed out.
    fn propose_waiting_orders(&mut self, cx: CX![]) {
        let (now, newest) = (cx.now(), self.view.revision());
        let is_due =
            |waiting: &mut WaitingOrder| waiting.order.base <= newest || waiting.deadline <= now;
        let due: Vec<WaitingOrder> = self.waiting_orders.extract_if(.., is_due).collect();
        for waiting in due {
            self.propose(cx, waiting.pending, waiting.order);
        }
    }

    fn propose(&mut self, cx: CX![], pending: PendingRequest, order: ChangeOrder) {
        match order.command(&self.view) {
            Err(problem) => pending.respond(problem),
            Ok(command) => {
                let proposed =
                    ret_to!([cx], on_proposal_outcome(pending, order) as (ProposalOutcome));
                call!([self.dependencies.replica], propose(Part::Declare, command, proposed));
            }
        }
    }

    fn on_proposal_outcome(
        &mut self,
        cx: CX![],
        pending: PendingRequest,
        order: ChangeOrder,
        proposed: Option<ProposalOutcome>,
    ) {
        let accepted = change_order::accepted_revision(proposed.as_ref());
        let response = order.response(proposed);
        match accepted {
            Some(revision) if revision > self.in_force => {
                self.hold_response(cx, pending, response, revision)
            }
            _ => pending.respond(response),
        }
    }

    /// Updates the view after the replicated log has changed the revisions.
    fn on_log_applied(&mut self, cx: CX![], _: Index) {
        let has_advanced = match &self.revisions {
            Some(revisions) => self.view.follow(&revisions.borrow()),
            None => false,
        };
        if has_advanced {
            self.advance(cx);
        }
    }

    /// Queries the replicated log for the newest revision until this revision is known.
    fn query_log(&mut self, cx: CX![]) {
        if self.view.is_settled() {
            return;
        }
        if let Ok(command) = wire::encode(&Command::Current) {
            let responded = ret_to!([cx], on_log_response() as (ProposalOutcome));
            call!([self.dependencies.replica], propose(Part::Declare, command, responded));
        }
        after!(LOG_QUERY_INTERVAL, [cx], query_log());
    }

    fn on_log_response(&mut self, cx: CX![], proposed: Option<ProposalOutcome>) {
        let Some(ProposalOutcome::Applied { outcome, .. }) = proposed else {
            return;
        };
        if let Ok(Outcome::Current { revision }) = wire::decode("outcome", &outcome)
            && self.view.settle(revision)
        {
            self.advance(cx);
        }
    }

    /// Stores the newest revision, gossips about it and puts it in force.
    fn advance(&mut self, cx: CX![]) {
        self.gossip(gossip::FANOUT_AFTER_CHANGE);
        self.propose_waiting_orders(cx);
        match &self.revision_store {
            Some(_) if self.view.revision() > self.in_force => self.store(),
            _ => self.put_in_force(&PendingRevision::from(&self.view)),
        }
    }

    fn store(&mut self) {
        if let (Some(revision_store), None) = (&self.revision_store, &self.revision_in_write) {
            self.revision_in_write = Some(PendingRevision::from(&self.view));
            revision_store.store(&self.view);
        }
    }

    /// Puts a revision in force after its write has finished or failed.
    fn on_stored(&mut self, _: CX![], outcome: StoreOutcome) {
        if let Some(problem) = &outcome.problem {
            self.dependencies.metrics.count_refused("revision_not_stored");
            log::error!(
                "revision {} is not stored: {problem}; it is put in force without persistence",
                outcome.revision
            );
        }
        if let Some(pending_revision) = self.revision_in_write.take() {
            self.put_in_force(&pending_revision);
        }
        if self.view.revision() > outcome.revision {
            self.store();
        }
    }

    fn put_in_force(&mut self, pending_revision: &PendingRevision) {
        let revision = pending_revision.revision;
        if self.is_ready && revision <= self.in_force {
            return;
        }
        let declarations = if revision == Revision::default() {
            self.bootstrap.clone()
        } else {
            match Declarations::try_from(pending_revision.document.as_ref()) {
                Ok(declarations) => Rc::new(declarations),
                Err(error) => {
                    self.dependencies.metrics.count_refused("invalid_revision");
                    log::error!(
                        "revision {revision} cannot be put in force: {error}; \
                         the previous declarations stay in force"
                    );
                    return;
                }
            }
        };
        self.is_ready = true;
        self.in_force = revision;
        self.declarations = declarations;
        self.dependencies.metrics.revision.set(i64::try_from(revision.0).unwrap_or(i64::MAX));
        for listener in &self.dependencies.declaration_listeners {
            listener.fwd(self.declarations.clone());
        }
        log::info!("declarations: revision {revision} is in force");
        self.release_held();
    }

    /// Handles a message from a peer.
    pub(crate) fn deliver(&mut self, cx: CX![], delivery: Delivery) {
        match wire::decode("declarations", &delivery.payload) {
            Ok(Packet::Gossip(message)) => self.handle_gossip(cx, delivery.sender, message),
            Ok(Packet::Probe) => {
                let status = Packet::Status(self.status());
                self.send(&delivery.sender, &status);
            }
            Ok(Packet::Status(status)) => self.record_status(cx.now(), delivery.sender, status),
            Ok(Packet::ForwardedRead(forwarded)) => {
                self.handle_forwarded_read(&delivery.sender, forwarded)
            }
            Ok(Packet::ForwardedResponse(response)) => self.handle_forwarded_response(response),
            Err(error) => log::debug!(
                "invalid message from instance {}: {error}; message dropped",
                delivery.sender
            ),
        }
    }
}
