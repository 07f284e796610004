//! Serves the newest document to operators.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use catalogue::{Command, Course, Lane, Number};
use entry::{Problem, Reply, Status, Unsent};
use instance::{Part, View};
use names::{Instance, Request};
use settings::Settings;
use stakker::{CX, FixedTimerKey, Fwd, after, at, call, ret_to};
use state::ProposalOutcome;
use telemetry::Event as LogEvent;

use super::{Control, committed_number, no_quorum};

/// Maximum time that a read waits for a document that is committed but has not arrived at this
/// instance. Operators ask another instance after one second.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// Interval at which a waiting read checks whether the document has arrived.
const READ_POLL_PERIOD: Duration = Duration::from_millis(20);

/// A request of an operator to read the newest document.
pub(super) struct DocumentRead {
    request: Request,
    unsent: Unsent,
    /// Number of times that instances have redirected the request.
    hops: u32,
    reply: Fwd<Reply>,
    started_at: Instant,
    expires_at: Instant,
}

impl DocumentRead {
    pub(super) fn new(
        now: Instant,
        request: Request,
        unsent: Unsent,
        hops: u32,
        reply: Fwd<Reply>,
    ) -> Self {
        Self { request, unsent, hops, reply, started_at: now, expires_at: now + READ_TIMEOUT }
    }

    /// Logs the outcome of the read with the committed number, the number at this instance and the
    /// number of bytes sent.
    fn log_outcome(
        &self,
        now: Instant,
        outcome: &'static str,
        numbers: (Number, Number),
        bytes: usize,
    ) {
        let (committed, here) = (numbers.0.0, numbers.1.0);
        let after = now.saturating_duration_since(self.started_at).as_millis();
        let after_ms = u64::try_from(after).unwrap_or(u64::MAX);
        LogEvent::Read { committed, here, outcome, bytes, after_ms }.write();
    }
}

/// A response that is being sent.
struct DocumentTransfer {
    read: DocumentRead,
    number: Number,
    text: Vec<u8>,
    sent: usize,
}

/// The reads in progress, and the link that their responses share.
pub(super) struct DocumentReads {
    lane: Lane,
    /// Requests of reads whose response has not started and whose callers are still connected.
    pending: Vec<Request>,
    transfers: Vec<DocumentTransfer>,
    timer: FixedTimerKey,
    /// The other control instances with the addresses at which they serve operators. Instances with
    /// a name after that of this instance come first.
    other_controls: Vec<(Instance, SocketAddr)>,
    port: u16,
    me: Instance,
    is_stopping: bool,
}

impl DocumentReads {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            lane: Lane::new(settings.direct.link_megabits),
            pending: Vec::new(),
            transfers: Vec::new(),
            timer: FixedTimerKey::default(),
            other_controls: Vec::new(),
            port: settings.listen.operators.port(),
            me: settings.instance.clone(),
            is_stopping: false,
        }
    }

    /// Decides whether a read of a document of `bytes` is served here, redirected or refused.
    fn decide(&mut self, now: Instant, read: &DocumentRead, bytes: usize) -> Course {
        let is_redirected = self.is_stopping && read.hops == 0;
        let other_controls: Vec<Instance> =
            self.other_controls.iter().map(|(instance, _)| instance.clone()).collect();
        match other_controls.first().filter(|_| is_redirected) {
            Some(instance) => Course::Elsewhere(instance.clone()),
            None => self.lane.decide((now, read.started_at), bytes, read.hops, &other_controls),
        }
    }
}

impl Control {
    /// Updates the list of the other control instances.
    pub(crate) fn set_view(&mut self, _: CX![], view: View) {
        let DocumentReads { other_controls, port, me, .. } = &mut self.reads;
        let controls =
            view.members.into_iter().filter(|member| member.is_control && !member.is_draining);
        let address = |ip| SocketAddr::new(ip, *port);
        let addresses = controls.map(|member| (member.instance, address(member.address.ip())));
        let (mut following, preceding): (Vec<_>, Vec<_>) =
            addresses.partition(|(instance, _)| *instance > *me);
        following.extend(preceding);
        *other_controls = following;
    }

    /// Redirects reads from now on, because this instance is stopping.
    pub(crate) fn redirect_reads(&mut self, _: CX![]) {
        self.reads.is_stopping = true;
    }

    /// Reads the number of the newest document from the log, then responds with the document.
    pub(super) fn read_document(&mut self, cx: CX![], read: DocumentRead) {
        match self.reads.decide(cx.now(), &read, 0) {
            Course::Here => {
                self.reads.pending.push(read.request);
                let bytes = postcard::to_allocvec(&Command::Read).unwrap_or_default();
                let on_outcome = ret_to!([cx], finish_read(read) as (ProposalOutcome));
                call!([self.replica], propose(Part::Catalogue, bytes, on_outcome));
            }
            course => self.redirect_or_refuse(cx, &read, course),
        }
    }

    fn finish_read(
        &mut self,
        cx: CX![],
        read: DocumentRead,
        proposal_outcome: Option<ProposalOutcome>,
    ) {
        let committed_number = committed_number(proposal_outcome);
        self.record_quorum(cx.now(), committed_number.is_some());
        match committed_number {
            Some(number) => self.send_document(cx, read, number),
            None => {
                self.reads.pending.retain(|request| *request != read.request);
                let here = self.newest.borrow().document().number;
                read.log_outcome(cx.now(), "no-quorum", (Number::default(), here), 0);
                read.reply.fwd(self.interface.control.refusal(no_quorum()));
            }
        }
    }

    /// Responds with the newest document once its number is at least `number`.
    fn send_document(&mut self, cx: CX![], read: DocumentRead, number: Number) {
        let newest = self.newest.borrow().document().clone();
        if !self.reads.pending.contains(&read.request) {
            read.log_outcome(cx.now(), "left", (number, newest.number), 0);
            return;
        }
        if newest.number < number && cx.now() < read.expires_at {
            after!(READ_POLL_PERIOD, [cx], send_document(read, number));
            return;
        }
        self.reads.pending.retain(|request| *request != read.request);
        let text = newest.text().filter(|_| newest.number >= number && newest.number.0 > 0);
        let Some(text) = text else {
            let (outcome, code, message) = match number.0 {
                0 => ("none", "no_catalogue", "no catalogue was committed yet".to_string()),
                _ => {
                    let message = format!("catalogue {number} has not arrived here yet");
                    ("not-current", "not_current", message)
                }
            };
            read.log_outcome(cx.now(), outcome, (number, newest.number), 0);
            let problem = Problem::not_run(&read.unsent, Status::UNAVAILABLE, code, message);
            read.reply.fwd(self.interface.control.refusal(problem));
            return;
        };
        match self.reads.decide(cx.now(), &read, text.len()) {
            Course::Here => {
                self.begin_transfer(cx, DocumentTransfer { read, number, text, sent: 0 })
            }
            course => self.redirect_or_refuse(cx, &read, course),
        }
    }

    /// Redirects a read to another instance, or refuses it.
    fn redirect_or_refuse(&mut self, cx: CX![], read: &DocumentRead, course: Course) {
        let control = &self.interface.control;
        let here = self.newest.borrow().document().number;
        let address = |instance: &Instance| {
            let found = self.reads.other_controls.iter().find(|(other, _)| other == instance);
            found.map(|(_, address)| *address)
        };
        let target = match &course {
            Course::Elsewhere(instance) => address(instance),
            Course::Here | Course::Later(_) => None,
        };
        let (outcome, reply) = match (target, course) {
            (Some(address), _) => ("elsewhere", control.redirect(address, read.hops + 1)),
            (None, course) => {
                let message = "the link is busy with answers to operators; ask again later";
                let problem =
                    Problem::not_run(&read.unsent, Status::UNAVAILABLE, "link_busy", message);
                let problem = match course {
                    Course::Later(delay) => problem.with_retry_after(delay),
                    Course::Here | Course::Elsewhere(_) => problem,
                };
                ("later", control.refusal(problem))
            }
        };
        read.log_outcome(cx.now(), outcome, (Number::default(), here), 0);
        read.reply.fwd(reply);
    }

    fn begin_transfer(&mut self, cx: CX![], transfer: DocumentTransfer) {
        let (status, headers) = self.interface.control.document_head();
        let length = Some(transfer.text.len() as u64);
        transfer.read.reply.fwd(Reply::Start { status, headers, length });
        self.reads.lane.push(transfer.read.request, transfer.text.len());
        self.reads.transfers.push(transfer);
        self.send_slices(cx);
    }

    /// Sends as many bytes as the link has capacity for.
    fn send_slices(&mut self, cx: CX![]) {
        let now = cx.now();
        let reads = &mut self.reads;
        while let Some(slice) = reads.lane.next(now) {
            let is_same_request =
                |transfer: &DocumentTransfer| transfer.read.request == slice.request;
            let Some(index) = reads.transfers.iter().position(is_same_request) else {
                continue;
            };
            let transfer = &mut reads.transfers[index];
            let part = transfer.text[transfer.sent..transfer.sent + slice.bytes].to_vec();
            transfer.sent += slice.bytes;
            transfer.read.reply.fwd(Reply::Part(part));
            if slice.is_last {
                let DocumentTransfer { read, number, sent, .. } =
                    reads.transfers.swap_remove(index);
                read.reply.fwd(Reply::End);
                read.log_outcome(now, "given", (number, number), sent);
            }
        }
        cx.timer_del(reads.timer);
        if let Some(due) = reads.lane.next_at() {
            reads.timer = at!(due, [cx], send_slices());
        }
    }

    /// Cancels the read of a caller that has disconnected, and the response to it.
    pub(super) fn cancel_read(&mut self, cx: CX![], request: Request) {
        self.reads.pending.retain(|pending| *pending != request);
        self.reads.lane.remove(request);
        let is_same_request = |transfer: &mut DocumentTransfer| transfer.read.request == request;
        for DocumentTransfer { read, number, sent, .. } in
            self.reads.transfers.extract_if(.., is_same_request)
        {
            read.log_outcome(cx.now(), "left", (number, number), sent);
        }
    }
}
