//! Actor that serves upstreams and operators at a control instance.

mod callers;
mod document_reads;
mod evacuation_orders;
mod leaves;

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use catalogue::{Catalogue, Command, Document, Newest, Number, Outcome};
use entry::{Event, Hold, Problem, Rejection, Reply, Request, Status, Unsent};
use evacuation::{OrderLog, Orders};
use instance::{Part, Replica};
use settings::Settings;
use stakker::{Actor, CX, Fwd, after, call, ret_to};
use state::ProposalOutcome;
use telemetry::{Event as LogEvent, Metrics};

use crate::feed::{Acknowledgement, Feed, Leaving, Storage};
use crate::interface::{ControlRequest, Interface};
use crate::shared_state::SharedState;
use callers::Callers;
use document_reads::{DocumentRead, DocumentReads};

/// Time after which a client retries while no quorum is reachable.
const NO_QUORUM_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Time after which a client repeats a leave or a document that was not stored in time.
const NOT_DURABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum time during which a change that did not apply is submitted again, equal to the time that
/// a proposal waits for its outcome.
const SUBMISSION_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval between two checks whether the base document has arrived.
const SUBMISSION_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves announcements of upstreams and requests of operators.
pub(crate) struct Control {
    interface: Interface,
    replica: Actor<Replica>,
    feed: Actor<Feed>,
    newest: Rc<RefCell<Newest>>,
    /// Evacuation orders that the log has applied here.
    order_log: Rc<RefCell<OrderLog>>,
    /// Evacuation orders that this instance knows.
    orders: Rc<RefCell<Orders>>,
    metrics: Arc<Metrics>,
    /// Time since which no quorum has answered, or `None` if a quorum answers.
    quorum_lost_since: Option<Instant>,
    /// Reads of the newest document.
    reads: DocumentReads,
    /// Callers of the requests that take effect only if their callers wait.
    callers: Callers,
}

impl Control {
    pub(crate) fn init(
        _: CX![],
        interface: Interface,
        replica: Actor<Replica>,
        feed: Actor<Feed>,
        state: SharedState,
        metrics: Arc<Metrics>,
        settings: Rc<Settings>,
    ) -> Option<Self> {
        let reads = DocumentReads::new(&settings);
        let SharedState { newest, order_log, orders } = state;
        Some(Self {
            interface,
            replica,
            feed,
            newest,
            order_log,
            orders,
            metrics,
            quorum_lost_since: None,
            reads,
            callers: Callers::default(),
        })
    }

    /// Handles an event on a connection.
    pub(crate) fn handle(&mut self, cx: CX![], event: Event) {
        match event {
            Event::Arrived { request, unsent, hold, reply } => {
                self.handle_request(cx, request, (unsent, hold), reply)
            }
            Event::Left { request } => {
                self.callers.remove(request);
                self.cancel_read(cx, request);
            }
            Event::Refused { reason } => log::info!("closed a control connection: {reason}"),
        }
    }

    fn handle_request(
        &mut self,
        cx: CX![],
        request: Request,
        (unsent, hold): (Unsent, Hold),
        reply: Fwd<Reply>,
    ) {
        let control = &self.interface.control;
        let id = request.id;
        match control.parse_request(request) {
            Ok(ControlRequest::Announce(announcement)) => match announcement.check(unix_millis()) {
                Ok(()) => {
                    let acknowledgement = self.acknowledgement(unsent, reply);
                    call!([self.feed], announce(announcement, acknowledgement));
                }
                Err(error) => self.refuse_announcement(&error, &reply),
            },
            Ok(ControlRequest::Leave { upstream, born }) => {
                let left_at_millis = unix_millis();
                match roster::check_born(&upstream, born.unwrap_or_default(), left_at_millis) {
                    Ok(()) => {
                        let acknowledgement = self.acknowledgement(unsent, reply);
                        let leaving = Leaving { upstream, born, left_at_millis };
                        self.receive_leave(cx, id, leaving, acknowledgement);
                    }
                    Err(error) => self.refuse_announcement(&error, &reply),
                }
            }
            Ok(ControlRequest::Evacuate { data_centre, is_evacuated }) => {
                self.order_evacuation(cx, id, (data_centre, is_evacuated), (unsent, reply))
            }
            Ok(ControlRequest::SubmitDocument(text)) => {
                self.submit_document(cx, &text, (hold, reply))
            }
            Ok(ControlRequest::ReadDocument { hops }) => {
                self.read_document(cx, DocumentRead::new(cx.now(), id, unsent, hops, reply))
            }
            Err(problem) => {
                log::info!("refused a control request: {}", problem.message());
                reply.fwd(control.refusal(problem));
            }
        }
    }

    fn acknowledgement(&self, unsent: Unsent, reply: Fwd<Reply>) -> Acknowledgement {
        let control = self.interface.control.clone();
        let accepted = control.acknowledgement();
        let refusal = move |reason| control.refusal(leaves::problem(reason, &unsent));
        Acknowledgement { accepted, refusal: Box::new(refusal), reply }
    }

    fn refuse_announcement(&self, error: &roster::Error, reply: &Fwd<Reply>) {
        log::info!("refused an announcement: {error}");
        let message = error.to_string();
        let problem = Problem::rejected(Rejection::BadRequest, "malformed_announcement", message);
        reply.fwd(self.interface.control.refusal(problem));
    }

    /// Validates a document and proposes it to the log.
    fn submit_document(&mut self, cx: CX![], text: &[u8], (hold, reply): (Hold, Fwd<Reply>)) {
        let draft = self.interface.documents.parse(text);
        let catalogue =
            draft.and_then(|draft| Catalogue::try_from(draft).map_err(|error| error.to_string()));
        let number = match catalogue {
            Ok(catalogue) => catalogue.number(),
            Err(problem) => {
                let problem = names::shorten(problem);
                self.log_submission(Number::default(), "invalid", &problem);
                let problem =
                    Problem::rejected(Rejection::BadRequest, "invalid_catalogue", problem);
                reply.fwd(self.interface.control.refusal(problem));
                return;
            }
        };
        if number <= self.newest.borrow().document().number {
            self.acknowledge_when_stored(cx, number, "outdated", reply);
            return;
        }
        let (text, submitted_at) = (text.into(), cx.now());
        let base = self.newest.borrow().document().number;
        self.propose_submission(
            cx,
            Submission {
                number,
                text,
                base,
                is_full_document: false,
                submitted_at,
                _hold: hold,
                reply,
            },
        );
    }

    fn propose_submission(&mut self, cx: CX![], submission: Submission) {
        let command = match submission.is_full_document {
            true => Command::Offer(Document::pack(submission.number, &submission.text)),
            false => self.newest.borrow().offer(submission.number, &submission.text),
        };
        let bytes = postcard::to_allocvec(&command).unwrap_or_default();
        let on_outcome = ret_to!([cx], finish_submission(submission) as (ProposalOutcome));
        call!([self.replica], propose(Part::Catalogue, bytes, on_outcome));
    }

    fn log_submission(&self, number: Number, outcome: &'static str, reason: &str) {
        let (number, committed) = (number.0, self.newest.borrow().document().number.0);
        let reason = reason.to_string();
        LogEvent::Offered { number, committed, outcome, reason }.write();
    }

    /// Records whether a quorum answers, and logs changes.
    fn record_quorum(&mut self, now: Instant, is_reachable: bool) {
        let dependency = "quorum";
        match (is_reachable, self.quorum_lost_since) {
            (false, None) => {
                self.quorum_lost_since = Some(now);
                let reason = "no leader committed a proposal in time".to_string();
                LogEvent::Lost { dependency, reason }.write();
            }
            (true, Some(since)) => {
                self.quorum_lost_since = None;
                let after = now.saturating_duration_since(since).as_millis();
                let after_ms = u64::try_from(after).unwrap_or(u64::MAX);
                LogEvent::Regained { dependency, after_ms }.write();
            }
            _ => {}
        }
    }

    /// Acknowledges a document that is committed, once it is stored. If the change did not apply, the
    /// document is submitted again as soon as the base document has arrived.
    fn finish_submission(
        &mut self,
        cx: CX![],
        submission: Submission,
        proposal_outcome: Option<ProposalOutcome>,
    ) {
        let now = cx.now();
        let outcome = outcome(proposal_outcome);
        self.record_quorum(now, outcome.is_some());
        let number = submission.number;
        match outcome {
            Some(Outcome::Missed(newest)) if now < submission.submitted_at + SUBMISSION_TIMEOUT => {
                self.log_submission(number, "missed", "");
                self.retry_submission(cx, submission, newest);
            }
            Some(Outcome::Held(_)) => {
                self.metrics.relay.commit.observe((now - submission.submitted_at).as_secs_f64());
                self.acknowledge_when_stored(cx, number, "acknowledged", submission.reply);
            }
            _ => self.refuse_without_quorum(number, &submission.reply),
        }
    }

    fn refuse_without_quorum(&self, number: Number, reply: &Fwd<Reply>) {
        self.log_submission(number, "no-quorum", "");
        reply.fwd(self.interface.control.refusal(no_quorum()));
    }

    /// Acknowledges the committed document `number` once enough control instances have it on disk.
    fn acknowledge_when_stored(
        &mut self,
        cx: CX![],
        number: Number,
        outcome: &'static str,
        reply: Fwd<Reply>,
    ) {
        let on_stored = ret_to!([cx], acknowledge(number, outcome, reply) as (Storage));
        call!([self.feed], await_document_copies(number, on_stored));
    }

    fn acknowledge(
        &mut self,
        _: CX![],
        number: Number,
        outcome: &'static str,
        reply: Fwd<Reply>,
        storage: Option<Storage>,
    ) {
        match storage {
            Some(Storage::Stored) => {
                self.log_submission(number, outcome, "");
                reply.fwd(self.interface.control.acknowledgement());
            }
            Some(Storage::TooFewCopies) => {
                self.log_submission(number, "not-stored", "");
                reply.fwd(self.interface.control.refusal(document_not_stored()));
            }
            // The feed has ended, because the instance is stopping.
            None => self.refuse_without_quorum(number, &reply),
        }
    }

    /// Submits a document again after its change did not apply, because the newest committed
    /// document is `newest`.
    fn retry_submission(&mut self, cx: CX![], submission: Submission, newest: Number) {
        let base = self.newest.borrow().document().number;
        let has_timed_out = cx.now() >= submission.submitted_at + SUBMISSION_TIMEOUT;
        let is_full_document = submission.base == newest || has_timed_out;
        match base >= newest || is_full_document {
            true => {
                self.propose_submission(cx, Submission { base, is_full_document, ..submission })
            }
            false => {
                after!(SUBMISSION_RETRY_DELAY, [cx], retry_submission(submission, newest));
            }
        }
    }
}

/// A document that is being proposed to the log.
struct Submission {
    number: Number,
    text: Arc<[u8]>,
    /// Number of the document that the change applies to.
    base: Number,
    /// Whether the full document is proposed instead of a change: the change did not apply although
    /// its base is the newest committed document, or the time for submissions has passed.
    is_full_document: bool,
    submitted_at: Instant,
    /// Memory that is reserved for the document.
    _hold: Hold,
    reply: Fwd<Reply>,
}

/// Returns the result of the log for a command about the document, or `None` if the log did not
/// answer.
fn outcome(proposal_outcome: Option<ProposalOutcome>) -> Option<Outcome> {
    let Some(ProposalOutcome::Applied { outcome, .. }) = proposal_outcome else {
        return None;
    };
    let outcome = postcard::from_bytes(&outcome).unwrap_or(Outcome::Malformed);
    if outcome == Outcome::Malformed {
        log::error!("cannot decode the outcome of a catalogue command; treating it as unanswered");
        return None;
    }
    Some(outcome)
}

/// Returns the number of the newest committed document, or `None` if the log did not answer.
fn committed_number(proposal_outcome: Option<ProposalOutcome>) -> Option<Number> {
    match outcome(proposal_outcome)? {
        Outcome::Held(number) => Some(number),
        Outcome::Missed(_) | Outcome::Malformed => None,
    }
}

/// Returns the time of the clock in milliseconds of Unix time.
fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

fn document_not_stored() -> Problem {
    let message = "the document is committed, but too few control instances have stored it yet; \
                   send it again";
    Problem::may_have_run(Status::UNAVAILABLE, "not_durable", message)
        .with_retry_after(NOT_DURABLE_RETRY_AFTER)
}

fn no_quorum() -> Problem {
    let message = "no quorum of control instances is within reach; send the request again";
    Problem::may_have_run(Status::UNAVAILABLE, "no_quorum", message)
        .with_retry_after(NO_QUORUM_RETRY_AFTER)
}
