//! How operators read the newest document.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use catalogue::{Command, Course, Lane, Number};
use entry::{Problem, Reply, Status};
use instance::{Part, View};
use names::{Instance, Request};
use settings::Settings;
use stakker::{CX, FixedTimerKey, Fwd, after, at, call, ret_to};
use state::Proposed;
use telemetry::Event as LogEvent;

use super::{Control, held, no_quorum};

/// How long a read waits for a document that is committed but not here yet. Whoever asks turns
/// to another instance after a second.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// Pause between two looks for that document.
const READ_PAUSE: Duration = Duration::from_millis(20);

/// A question for the newest document.
pub(super) struct Reading {
    request: Request,
    /// How often it was sent on.
    hops: u32,
    reply: Fwd<Reply>,
    since: Instant,
    until: Instant,
}

impl Reading {
    pub(super) fn new(now: Instant, request: Request, hops: u32, reply: Fwd<Reply>) -> Self {
        Self { request, hops, reply, since: now, until: now + READ_TIMEOUT }
    }

    /// Notes how it ended: the number that the log holds, the one here, and the bytes given.
    fn tell(&self, now: Instant, outcome: &'static str, numbers: (Number, Number), bytes: usize) {
        let (committed, here) = (numbers.0.0, numbers.1.0);
        let after = now.saturating_duration_since(self.since).as_millis();
        let after_ms = u64::try_from(after).unwrap_or(u64::MAX);
        LogEvent::Read { committed, here, outcome, bytes, after_ms }.tell();
    }
}

/// An answer on its way.
struct Giving {
    reading: Reading,
    number: Number,
    text: Vec<u8>,
    sent: usize,
}

/// The questions for the document, and the link that the answers share.
pub(super) struct Reads {
    lane: Lane,
    /// Questions that the log has not answered yet, and whose askers are still there.
    asked: Vec<Request>,
    giving: Vec<Giving>,
    timer: FixedTimerKey,
    /// The other control instances and where they answer operators, those behind this one by name
    /// first.
    others: Vec<(Instance, SocketAddr)>,
    port: u16,
    me: Instance,
    is_stopping: bool,
}

impl Reads {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            lane: Lane::new(settings.direct.link_megabits),
            asked: Vec::new(),
            giving: Vec::new(),
            timer: FixedTimerKey::default(),
            others: Vec::new(),
            port: settings.listen.operators.port(),
            me: settings.instance.clone(),
            is_stopping: false,
        }
    }

    /// What becomes of a question for a document of `bytes`.
    fn decide(&mut self, now: Instant, reading: &Reading, bytes: usize) -> Course {
        let is_sent_on = self.is_stopping && reading.hops == 0;
        let others: Vec<Instance> = self.others.iter().map(|(one, _)| one.clone()).collect();
        match others.first().filter(|_| is_sent_on) {
            Some(other) => Course::Elsewhere(other.clone()),
            None => self.lane.decide((now, reading.since), bytes, reading.hops, &others),
        }
    }
}

impl Control {
    /// Learns of the other control instances.
    pub(crate) fn set_view(&mut self, _: CX![], view: View) {
        let Reads { others, port, me, .. } = &mut self.reads;
        let controls = view.members.into_iter().filter(|one| one.is_control && !one.is_draining);
        let address = |ip| SocketAddr::new(ip, *port);
        let known = controls.map(|one| (one.instance, address(one.address.ip())));
        let (mut behind, before): (Vec<_>, Vec<_>) = known.partition(|(one, _)| *one > *me);
        behind.extend(before);
        *others = behind;
    }

    /// Sends questions elsewhere from now on, as this instance stops.
    pub(crate) fn stop_reading(&mut self, _: CX![]) {
        self.reads.is_stopping = true;
    }

    /// Asks the log for the number of the newest document, then answers with it.
    pub(super) fn read(&mut self, cx: CX![], reading: Reading) {
        match self.reads.decide(cx.now(), &reading, 0) {
            Course::Here => {
                self.reads.asked.push(reading.request);
                let bytes = postcard::to_allocvec(&Command::Read).unwrap_or_default();
                let proposed = ret_to!([cx], finish_read(reading) as (Proposed));
                call!([self.replica], propose(Part::Catalogue, bytes, proposed));
            }
            course => self.turn_away(cx, &reading, course),
        }
    }

    fn finish_read(&mut self, cx: CX![], reading: Reading, proposed: Option<Proposed>) {
        let held = held(proposed);
        self.note_quorum(cx.now(), held.is_some());
        match held {
            Some(number) => self.send_document(cx, reading, number),
            None => {
                self.reads.asked.retain(|request| *request != reading.request);
                let here = self.newest.borrow().document().number;
                reading.tell(cx.now(), "no-quorum", (Number::default(), here), 0);
                reading.reply.fwd(self.interface.control.refusal(no_quorum()));
            }
        }
    }

    /// Answers with the newest document once it has at least `number`.
    fn send_document(&mut self, cx: CX![], reading: Reading, number: Number) {
        let newest = self.newest.borrow().document().clone();
        if !self.reads.asked.contains(&reading.request) {
            reading.tell(cx.now(), "left", (number, newest.number), 0);
            return;
        }
        if newest.number < number && cx.now() < reading.until {
            after!(READ_PAUSE, [cx], send_document(reading, number));
            return;
        }
        self.reads.asked.retain(|request| *request != reading.request);
        let text = newest.text().filter(|_| newest.number >= number && newest.number.0 > 0);
        let Some(text) = text else {
            let (outcome, code, message) = match number.0 {
                0 => ("none", "no_catalogue", "no catalogue was committed yet".to_string()),
                _ => {
                    let message = format!("catalogue {number} has not arrived here yet");
                    ("not-current", "not_current", message)
                }
            };
            reading.tell(cx.now(), outcome, (number, newest.number), 0);
            let problem = Problem::not_run(Status::UNAVAILABLE, code, message);
            reading.reply.fwd(self.interface.control.refusal(problem));
            return;
        };
        match self.reads.decide(cx.now(), &reading, text.len()) {
            Course::Here => self.begin_giving(cx, Giving { reading, number, text, sent: 0 }),
            course => self.turn_away(cx, &reading, course),
        }
    }

    /// Sends a question on to another instance, or refuses it.
    fn turn_away(&mut self, cx: CX![], reading: &Reading, course: Course) {
        let control = &self.interface.control;
        let here = self.newest.borrow().document().number;
        let address = |instance: &Instance| {
            let found = self.reads.others.iter().find(|(other, _)| other == instance);
            found.map(|(_, address)| *address)
        };
        let target = match &course {
            Course::Elsewhere(instance) => address(instance),
            Course::Here | Course::Later(_) => None,
        };
        let (outcome, reply) = match (target, course) {
            (Some(address), _) => ("elsewhere", control.elsewhere(address, reading.hops + 1)),
            (None, course) => {
                let message = "the link is busy with answers to operators; ask again later";
                let problem = Problem::not_run(Status::UNAVAILABLE, "link_busy", message);
                let problem = match course {
                    Course::Later(span) => problem.with_retry_after(span),
                    Course::Here | Course::Elsewhere(_) => problem,
                };
                ("later", control.refusal(problem))
            }
        };
        reading.tell(cx.now(), outcome, (Number::default(), here), 0);
        reading.reply.fwd(reply);
    }

    fn begin_giving(&mut self, cx: CX![], giving: Giving) {
        let (status, headers) = self.interface.control.document();
        let length = Some(giving.text.len() as u64);
        giving.reading.reply.fwd(Reply::Start { status, headers, length });
        self.reads.lane.push(giving.reading.request, giving.text.len());
        self.reads.giving.push(giving);
        self.give_on(cx);
    }

    /// Sends what the link has room for.
    fn give_on(&mut self, cx: CX![]) {
        let now = cx.now();
        let reads = &mut self.reads;
        while let Some(slice) = reads.lane.next(now) {
            let is_meant = |one: &Giving| one.reading.request == slice.request;
            let Some(index) = reads.giving.iter().position(is_meant) else {
                continue;
            };
            let giving = &mut reads.giving[index];
            let part = giving.text[giving.sent..giving.sent + slice.bytes].to_vec();
            giving.sent += slice.bytes;
            giving.reading.reply.fwd(Reply::Part(part));
            if slice.is_last {
                let Giving { reading, number, sent, .. } = reads.giving.swap_remove(index);
                reading.reply.fwd(Reply::End);
                reading.tell(now, "given", (number, number), sent);
            }
        }
        cx.timer_del(reads.timer);
        if let Some(due) = reads.lane.next_at() {
            reads.timer = at!(due, [cx], give_on());
        }
    }

    /// Gives up the question of whoever left, and the answer to it.
    pub(super) fn leave(&mut self, cx: CX![], request: Request) {
        self.reads.asked.retain(|asked| *asked != request);
        self.reads.lane.remove(request);
        let is_meant = |one: &mut Giving| one.reading.request == request;
        for Giving { reading, number, sent, .. } in self.reads.giving.extract_if(.., is_meant) {
            reading.tell(cx.now(), "left", (number, number), sent);
        }
    }
}
