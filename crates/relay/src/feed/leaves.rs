//! Makes the leaves of upstreams durable before they are acknowledged.

use std::time::{Duration, Instant};

use entry::Reply;
use names::{Instance, Upstream};
use roster::durability::{Holder, Leave, Requirement, Step, Ticket, WriteResult};
use roster::{MergeResult, Status};
use stakker::{CX, Fwd, after, at};
use telemetry::Event;
use wire::Transport;

use super::Feed;
use super::announcements::log_upstream;
use super::message::Message;

/// Time in which a leave has to be durable. The upstream tries another instance after a second.
const DURABILITY_TIMEOUT: Duration = Duration::from_millis(700);

/// Interval at which unconfirmed leaves are sent again to control instances.
const RESEND_PERIOD: Duration = Duration::from_millis(200);

/// Leave of an upstream.
pub(crate) struct Leaving {
    pub(crate) upstream: Upstream,
    /// Start of the run that ends, if the upstream reported it.
    pub(crate) born: Option<u64>,
    /// Time at which the leave arrived, in milliseconds of Unix time.
    pub(crate) left_at_millis: u64,
}

/// Acknowledgement of an announcement or a leave.
pub(crate) struct Acknowledgement {
    /// Response if what the upstream said is in force, and durable if it has to be.
    pub(crate) accepted: Reply,
    /// Returns the response to a leave that is not acknowledged.
    pub(crate) refusal: Box<dyn Fn(Refusal) -> Reply>,
    pub(crate) reply: Fwd<Reply>,
}

/// Why a leave is not acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The leave is in force, but was not durable in time.
    NotDurable,
    /// As many departures are kept as the limit allows.
    Full,
}

impl Acknowledgement {
    pub(super) fn accept(self) {
        self.reply.fwd(self.accepted);
    }

    fn refuse(self, refusal: Refusal) {
        self.reply.fwd((self.refusal)(refusal));
    }
}

/// An acknowledgement that waits for copies on disk.
pub(super) struct Waiting {
    acknowledgement: Acknowledgement,
    arrived_at: Instant,
}

impl Feed {
    /// Handles the leave of an upstream. The leave is acknowledged once it is durable.
    pub(crate) fn withdraw(
        &mut self,
        cx: CX![],
        leaving: Leaving,
        acknowledgement: Acknowledgement,
    ) {
        let Leaving { upstream, born, left_at_millis } = leaving;
        let Some(departure) = self.roster.departure_for(&upstream, born, left_at_millis) else {
            self.apply_leave(cx, &upstream, born);
            let leave = self.undurable_record(&upstream);
            self.acknowledge_leave(cx, leave, acknowledgement);
            return;
        };
        let now = cx.now();
        if !self.roster.has_room_for_departure(now, &upstream) {
            self.metrics.relay.departures_refused.inc();
            acknowledgement.refuse(Refusal::Full);
            return;
        }
        self.add_departures(cx, vec![(now, departure)], "itself", true);
        let leave = self.undurable_departure(&upstream);
        self.acknowledge_leave(cx, leave, acknowledgement);
    }

    /// Returns the record of `upstream` if it is a leave that may not be durable.
    pub(super) fn undurable_record(&self, upstream: &Upstream) -> Option<Leave> {
        match self.roster.get(upstream) {
            // A later announcement of the upstream takes precedence.
            Some(record) if record.announcement.standing == Status::Ready => None,
            Some(_) if self.roster.is_durable(upstream) => None,
            Some(record) => Some(Leave::Record(record.clone())),
            None => self.undurable_departure(upstream),
        }
    }

    fn undurable_departure(&self, upstream: &Upstream) -> Option<Leave> {
        let (departure, is_durable) = self.roster.departure(upstream)?;
        (!is_durable).then(|| Leave::Departure(departure.clone()))
    }

    /// Sends the acknowledgement once `leave`, which the roster includes, is durable, or at once if
    /// there is none. A leave that is repeated waits as well, since the first one may not be durable
    /// yet.
    pub(super) fn acknowledge_leave(
        &mut self,
        cx: CX![],
        leave: Option<Leave>,
        acknowledgement: Acknowledgement,
    ) {
        let Some(leave) = leave else {
            acknowledgement.accept();
            return;
        };
        let arrived_at = cx.now();
        let (revision, expires_at) = (self.writer.newest(), arrived_at + DURABILITY_TIMEOUT);
        let waiting = Waiting { acknowledgement, arrived_at };
        let ticket = self.rounds.begin(leave.clone(), revision, expires_at, waiting);
        for control in self.other_controls() {
            self.send(control, Transport::Tcp, &Message::StoreLeave(ticket, leave.clone()));
        }
        self.end_durable_rounds(cx);
        if !self.is_resend_scheduled && !self.rounds.is_empty() {
            self.is_resend_scheduled = true;
            after!(RESEND_PERIOD, [cx], resend_leaves());
        }
    }

    pub(super) fn other_controls(&self) -> Vec<Instance> {
        let others = self.live_controls.iter().map(|holder| holder.instance.clone());
        others.filter(|instance| *instance != self.me).collect()
    }

    /// Records that leaves have changed in the roster, and writes them to disk. The write begins at
    /// once unless another one runs.
    pub(super) fn store_leaves(&mut self, cx: CX![]) {
        if self.is_control {
            self.writer.add();
            self.continue_writing(cx);
        }
    }

    fn continue_writing(&mut self, cx: CX![]) {
        match self.writer.next_step(cx.now()) {
            Step::Write(_) => self.begin_write(cx),
            Step::Retry(until) => {
                cx.timer_del(self.write_timer);
                self.write_timer = at!(until, [cx], continue_writing());
            }
            Step::Wait => {}
        }
    }

    fn begin_write(&mut self, cx: CX![]) {
        match &self.disk_cache {
            Some(disk_cache) => {
                let reports = self.roster.departures(cx.now());
                let departures = reports.into_iter().map(|report| report.departure);
                disk_cache.write_leaves(self.roster.leaves(), departures.collect());
            }
            // The write never ends, because a data folder that cannot be used holds no copy.
            None if self.has_data_folder => {}
            // Without a data folder, memory is the only place for a copy.
            None => self.finish_leaves_write(cx, WriteResult::Stored),
        }
    }

    /// Handles the end of a write of leaves.
    pub(super) fn finish_leaves_write(&mut self, cx: CX![], result: WriteResult) {
        let now = cx.now();
        self.writer.finish(now, result);
        self.confirm_stored(now);
        self.end_durable_rounds(cx);
        self.continue_writing(cx);
    }

    /// Applies a leave of another control instance, which is confirmed once it is on disk here.
    pub(super) fn receive_leave(
        &mut self,
        cx: CX![],
        sender: Instance,
        ticket: Ticket,
        leave: Leave,
    ) {
        let now = cx.now();
        match leave {
            Leave::Record(record) => self.receive_records(cx, &sender, vec![record]),
            Leave::Departure(departure) => {
                let is_forwarded = self.tree.forwards_updates_of(&sender);
                let departures = vec![(now, departure)];
                if !self.add_departures(cx, departures, sender.as_str(), is_forwarded) {
                    return;
                }
            }
        }
        if !self.is_control {
            return;
        }
        let expires_at = now + DURABILITY_TIMEOUT;
        self.pledges.add(sender, ticket, self.writer.newest(), expires_at);
        self.confirm_stored(now);
    }

    /// Applies the leave of an upstream, and publishes it if it is new.
    fn apply_leave(&mut self, cx: CX![], upstream: &Upstream, born: Option<u64>) {
        if self.roster.withdraw(cx.now(), upstream, born) == MergeResult::Changed
            && let Some(record) = self.roster.get(upstream).cloned()
        {
            log_upstream(&record.announcement, "itself");
            self.publish(cx, vec![record], true);
        }
    }

    fn confirm_stored(&mut self, now: Instant) {
        for (instance, ticket) in self.pledges.take_stored(now, self.writer.stored()) {
            self.send(instance, Transport::Tcp, &Message::LeaveStored(ticket));
        }
    }

    /// Handles the confirmation that `sender` has the leave of a round on disk.
    pub(super) fn record_copy(&mut self, cx: CX![], sender: &Instance, ticket: Ticket) {
        let holder = self.live_controls.iter().find(|holder| holder.instance == *sender);
        if let Some(holder) = holder {
            self.rounds.record_copy(ticket, holder);
            self.end_durable_rounds(cx);
        }
    }

    /// Acknowledges the leaves that have become durable.
    fn end_durable_rounds(&mut self, cx: CX![]) {
        self.rounds.record_own(self.writer.stored());
        for (leave, waiting) in self.rounds.take_durable(self.requirement()) {
            match &leave {
                Leave::Record(record) => self.roster.mark_durable(record),
                Leave::Departure(departure) => self.roster.mark_departure_durable(departure),
            }
            let time = cx.now().saturating_duration_since(waiting.arrived_at);
            self.metrics.relay.leave_durable.observe(time.as_secs_f64());
            Event::LeaveDurable {
                upstream: leave.upstream().to_string(),
                after_ms: u64::try_from(time.as_millis()).unwrap_or(u64::MAX),
                writes: self.writer.writes(),
            }
            .write();
            waiting.acknowledgement.accept();
        }
    }

    /// Returns the copies that an acknowledgement waits for.
    pub(super) fn requirement(&self) -> Requirement {
        Requirement::new(self.losses_borne, &self.live_controls, self.seed_count)
    }

    /// Refuses the acknowledgements that waited too long, and sends the leaves again to the control
    /// instances that have not confirmed them.
    pub(super) fn resend_leaves(&mut self, cx: CX![]) {
        self.is_resend_scheduled = false;
        for waiting in self.rounds.take_expired(cx.now()) {
            self.metrics.relay.leaves_not_durable.inc();
            waiting.acknowledgement.refuse(Refusal::NotDurable);
        }
        for control in self.other_controls() {
            for (ticket, leave) in self.rounds.missing(&control) {
                let message = Message::StoreLeave(ticket, leave.clone());
                self.send(control.clone(), Transport::Tcp, &message);
            }
        }
        if !self.rounds.is_empty() {
            self.is_resend_scheduled = true;
            after!(RESEND_PERIOD, [cx], resend_leaves());
        }
    }

    /// Updates the live control instances among the other members.
    pub(super) fn set_live_controls(&mut self, others: &[membership::Member]) {
        let holder = |member: &membership::Member| Holder {
            instance: member.instance.clone(),
            data_centre: member.data_centre.clone(),
        };
        self.live_controls = others.iter().map(holder).collect();
        if self.is_control {
            let (instance, data_centre) = (self.me.clone(), self.data_centre.clone());
            self.live_controls.push(Holder { instance, data_centre });
        }
        self.document_copies.retain_live(&self.live_controls);
        self.evacuations.retain_live(&self.live_controls);
    }
}
