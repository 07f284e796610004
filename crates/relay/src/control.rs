//! The actor that answers upstreams and operators at a control instance.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use catalogue::{Catalogue, Command, Document, Newest, Number, Outcome};
use entry::{Event, Problem, Reply, Request, Status};
use instance::{Part, Replica};
use stakker::{Actor, CX, Fwd, after, call, ret_to};
use state::Proposed;

use crate::feed::Feed;
use crate::interface::{Interface, Order};

/// How long a read waits for a document that is committed but not here yet. Whoever asks turns
/// to another instance after a second.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// Pause between two looks for that document.
const READ_PAUSE: Duration = Duration::from_millis(20);

/// When to ask again while no quorum is within reach.
const NO_QUORUM_RETRY: Duration = Duration::from_millis(300);

/// A read of the newest document.
struct Reading {
    reply: Fwd<Reply>,
    until: Instant,
}

/// Answers upstreams and operators.
pub(crate) struct Control {
    interface: Interface,
    replica: Actor<Replica>,
    feed: Actor<Feed>,
    newest: Rc<RefCell<Newest>>,
}

impl Control {
    pub(crate) fn init(
        _: CX![],
        interface: Interface,
        replica: Actor<Replica>,
        feed: Actor<Feed>,
        newest: Rc<RefCell<Newest>>,
    ) -> Option<Self> {
        Some(Self { interface, replica, feed, newest })
    }

    /// Takes what happens on a connection.
    pub(crate) fn handle(&mut self, cx: CX![], event: Event) {
        match event {
            Event::Arrived { request, reply } => self.answer(cx, request, reply),
            Event::Left { .. } => {}
            Event::Refused { reason } => log::info!("a control connection was closed: {reason}"),
        }
    }

    fn answer(&mut self, cx: CX![], request: Request, reply: Fwd<Reply>) {
        let control = &self.interface.control;
        match control.read(request) {
            Ok(Order::Announce(announcement)) => {
                let acknowledgement = control.acknowledgement();
                call!([self.feed], announce(announcement, acknowledgement, reply));
            }
            Ok(Order::Leave { upstream, born }) => {
                let acknowledgement = control.acknowledgement();
                call!([self.feed], withdraw(upstream, born, acknowledgement, reply));
            }
            Ok(Order::Offer(text)) => self.offer(cx, &text, reply),
            Ok(Order::Read) => self.read(cx, reply),
            Err(problem) => {
                log::info!("a control request was refused: {}", problem.message);
                reply.fwd(control.refusal(problem));
            }
        }
    }

    /// Checks a document and has it committed.
    fn offer(&mut self, cx: CX![], text: &[u8], reply: Fwd<Reply>) {
        let read = self.interface.documents.read(text);
        let checked =
            read.and_then(|draft| Catalogue::try_from(draft).map_err(|error| error.to_string()));
        let number = match checked {
            Ok(catalogue) => catalogue.number(),
            Err(problem) => {
                log::info!("a catalogue was refused: {problem}");
                let problem = Problem::not_run(Status::BAD_REQUEST, "invalid_catalogue", problem);
                reply.fwd(self.interface.control.refusal(problem));
                return;
            }
        };
        if number <= self.newest.borrow().document().number {
            log::info!("catalogue {number} changes nothing: a newer one is committed");
            reply.fwd(self.interface.control.acknowledgement());
            return;
        }
        let command = Command::Offer(Document::pack(number, text));
        self.propose(cx, &command, (number, reply));
    }

    fn propose(&mut self, cx: CX![], command: &Command, (number, reply): (Number, Fwd<Reply>)) {
        let bytes = postcard::to_allocvec(command).unwrap_or_default();
        let proposed = ret_to!([cx], finish_offer(number, reply) as (Proposed));
        call!([self.replica], propose(Part::Catalogue, bytes, proposed));
    }

    fn finish_offer(
        &mut self,
        _: CX![],
        number: Number,
        reply: Fwd<Reply>,
        proposed: Option<Proposed>,
    ) {
        let answer = match held(proposed) {
            Some(held) => {
                log::info!("catalogue {number} is acknowledged; {held} is committed");
                self.interface.control.acknowledgement()
            }
            None => {
                log::warn!("catalogue {number} is not acknowledged: no quorum answered");
                self.interface.control.refusal(no_quorum())
            }
        };
        reply.fwd(answer);
    }

    /// Asks the log for the number of the newest document, then answers with it.
    fn read(&mut self, cx: CX![], reply: Fwd<Reply>) {
        let until = cx.now() + READ_TIMEOUT;
        let reading = Reading { reply, until };
        let bytes = postcard::to_allocvec(&Command::Read).unwrap_or_default();
        let proposed = ret_to!([cx], finish_read(reading) as (Proposed));
        call!([self.replica], propose(Part::Catalogue, bytes, proposed));
    }

    fn finish_read(&mut self, cx: CX![], reading: Reading, proposed: Option<Proposed>) {
        match held(proposed) {
            Some(number) => self.send_document(cx, reading, number),
            None => reading.reply.fwd(self.interface.control.refusal(no_quorum())),
        }
    }

    /// Answers with the newest document once it has at least `number`.
    fn send_document(&mut self, cx: CX![], reading: Reading, number: Number) {
        let newest = self.newest.borrow().document().clone();
        if newest.number < number && cx.now() < reading.until {
            after!(READ_PAUSE, [cx], send_document(reading, number));
            return;
        }
        let text = newest.text().filter(|_| newest.number >= number && newest.number.0 > 0);
        let answer = match text {
            Some(text) => self.interface.control.document(text),
            None if number.0 == 0 => {
                let message = "no catalogue was committed yet";
                let problem = Problem::not_run(Status::UNAVAILABLE, "no_catalogue", message);
                self.interface.control.refusal(problem)
            }
            None => {
                let message = format!("catalogue {number} has not arrived here yet");
                let problem = Problem::not_run(Status::UNAVAILABLE, "not_current", message);
                self.interface.control.refusal(problem)
            }
        };
        reading.reply.fwd(answer);
    }
}

/// The number of the newest document, if the log answered.
fn held(proposed: Option<Proposed>) -> Option<Number> {
    let Some(Proposed::Applied { outcome, .. }) = proposed else {
        return None;
    };
    match postcard::from_bytes(&outcome) {
        Ok(Outcome::Held(number)) => Some(number),
        Ok(Outcome::Malformed) | Err(_) => {
            log::error!("the log gave no known outcome for a catalogue");
            None
        }
    }
}

fn no_quorum() -> Problem {
    let message = "no quorum of control instances is within reach; send the request again";
    Problem::may_have_run(Status::UNAVAILABLE, "no_quorum", message)
        .with_retry_after(NO_QUORUM_RETRY)
}
