//! Stores the newest document on enough disks before it is acknowledged.
//!
//! A quorum of the log holds each acknowledged document. After a restart, however, no instance knows
//! that the last entries of its log are committed until there is a leader. Meanwhile, control
//! instances distribute the document of their disk cache, which must not be older than the newest
//! acknowledged one.

use std::time::{Duration, Instant};

use catalogue::Number;
use names::Instance;
use roster::Copies;
use roster::durability::{Holder, Step, WriteResult, Writer};
use stakker::{CX, FixedTimerKey, Ret, at, ret};
use telemetry::Event;
use wire::Transport;

use super::Feed;
use super::message::Message;

/// Time in which enough control instances have to store a committed document or order. A lost report
/// is repeated several times in it.
pub(super) const COPY_TIMEOUT: Duration = Duration::from_secs(2);

/// Result of waiting for the copies of a committed document or order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Storage {
    /// Enough control instances have it on disk.
    Stored,
    /// Too few control instances stored it in time.
    TooFewCopies,
}

/// An acknowledgement that waits for copies.
struct Waiting {
    number: Number,
    arrived_at: Instant,
    on_stored: Ret<Storage>,
}

/// Copies of the newest document on the disks of control instances, including this one.
#[derive(Default)]
pub(super) struct DocumentCopies {
    copies: Copies<Number, Waiting>,
    writer: Writer,
    /// Number of the document on the disk of this instance.
    stored: Number,
    write_timer: FixedTimerKey,
}

impl DocumentCopies {
    /// Forgets the copies of instances that are not among `live`.
    pub(super) fn retain_live(&mut self, live: &[Holder]) {
        self.copies.retain_live(live);
    }
}

impl Feed {
    /// Calls `on_stored` once enough control instances have the committed document `number`, or a
    /// newer one, on disk.
    pub(crate) fn await_document_copies(
        &mut self,
        cx: CX![],
        number: Number,
        on_stored: Ret<Storage>,
    ) {
        let arrived_at = cx.now();
        let expires_at = arrived_at + COPY_TIMEOUT;
        let waiting = Waiting { number, arrived_at, on_stored };
        self.document_copies.copies.wait(number, expires_at, waiting);
        self.end_document_waits(cx);
        at!(expires_at, [cx], end_document_waits());
    }

    /// Writes the newest document to disk. The write begins at once unless another one runs. An
    /// instance that may have lost evacuation orders writes it later: a folder with a document and
    /// without orders is taken for one of an earlier version, which has lost none.
    pub(super) fn store_document(&mut self, cx: CX![]) {
        if self.is_control && self.evacuations.is_informed() {
            self.document_copies.writer.add();
            self.continue_document_write(cx);
        }
    }

    fn continue_document_write(&mut self, cx: CX![]) {
        match self.document_copies.writer.next_step(cx.now()) {
            Step::Write(_) => self.begin_document_write(cx),
            Step::Retry(until) => {
                cx.timer_del(self.document_copies.write_timer);
                self.document_copies.write_timer = at!(until, [cx], continue_document_write());
            }
            Step::Wait => {}
        }
    }

    fn begin_document_write(&mut self, cx: CX![]) {
        match &self.disk_cache {
            Some(disk_cache) => disk_cache.write_document(self.newest.borrow().document().clone()),
            // The write never ends, because a data folder that cannot be used holds no copy.
            None if self.has_data_folder => {}
            // Without a data folder, memory is the only place for a copy.
            None => self.finish_document_write(cx, self.document_number(), WriteResult::Stored),
        }
    }

    /// Handles the end of a write of the document `number`.
    pub(super) fn finish_document_write(&mut self, cx: CX![], number: Number, result: WriteResult) {
        self.document_copies.writer.finish(cx.now(), result);
        if result == WriteResult::Stored {
            self.document_copies.stored = number;
            let me = Holder { instance: self.me.clone(), data_centre: self.data_centre.clone() };
            self.document_copies.copies.record(me, number);
            for control in self.other_controls() {
                self.send(control, Transport::Tcp, &Message::DocumentStored(number));
            }
            self.end_document_waits(cx);
        }
        self.continue_document_write(cx);
    }

    /// Tells `follower`, if it is a control instance, which document is on the disk of this
    /// instance. Repeats a report that may have been lost.
    pub(super) fn report_document_copy(&self, follower: &Instance) {
        let stored = self.document_copies.stored;
        if self.tree.is_control(follower) && stored > Number::default() {
            let report = Message::DocumentStored(stored);
            self.send(follower.clone(), Transport::Udp, &report);
        }
    }

    /// Handles the report that `sender` has the document `number` on disk.
    pub(super) fn record_document_copy(&mut self, cx: CX![], sender: &Instance, number: Number) {
        let holder = self.live_controls.iter().find(|holder| holder.instance == *sender);
        if let Some(holder) = holder.cloned() {
            self.document_copies.copies.record(holder, number);
            self.end_document_waits(cx);
        }
    }

    /// Ends the waits for documents that have enough copies, and those that took too long.
    fn end_document_waits(&mut self, cx: CX![]) {
        let now = cx.now();
        for waiting in self.document_copies.copies.take_stored(self.requirement()) {
            let time = now.saturating_duration_since(waiting.arrived_at);
            self.metrics.relay.document_stored.observe(time.as_secs_f64());
            Event::DocumentStored {
                number: waiting.number.0,
                after_ms: u64::try_from(time.as_millis()).unwrap_or(u64::MAX),
            }
            .write();
            ret!([waiting.on_stored], Storage::Stored);
        }
        for waiting in self.document_copies.copies.take_expired(now) {
            self.metrics.relay.documents_not_stored.inc();
            ret!([waiting.on_stored], Storage::TooFewCopies);
        }
    }
}
