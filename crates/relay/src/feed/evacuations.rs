//! Holds the orders to evacuate data centres, distributes them, and makes them durable.
//!
//! Committed orders come from the log and from other instances, which may be ahead of the log here.
//! They are on the disk of control instances outside the log as well, because after a restart no
//! instance knows that the last entries of its log are committed until there is a leader.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use catalogue::Number;
use evacuation::{Order, OrderLog, Orders};
use names::{DataCentre, Instance};
use roster::Copies;
use roster::durability::{Holder, Step, WriteResult, Writer};
use stakker::{CX, FixedTimerKey, Ret, after, at, ret};
use state::Index;
use telemetry::Event;
use wire::Transport;

use super::Feed;
use super::document_copies::{COPY_TIMEOUT, Storage};
use super::message::Message;

/// Time after which a control instance that lost its disk goes by the orders that it knows, if it
/// hears from no instance that has orders on disk. Processes that are started together hear from each
/// other earlier.
const INFORM_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval at which control instances are asked again for copies that they have not confirmed.
const RESEND_PERIOD: Duration = Duration::from_millis(200);

/// An acknowledgement that waits for copies.
struct Waiting {
    data_centre: DataCentre,
    order: Order,
    arrived_at: Instant,
    on_stored: Ret<Storage>,
}

/// Orders of this instance, and their copies on the disks of control instances.
pub(super) struct Evacuations {
    /// State machine of the log, which changes by committed commands alone.
    log: Rc<RefCell<OrderLog>>,
    /// Committed orders that this instance learned from the log, its disk or other instances.
    orders: Rc<RefCell<Orders>>,
    /// Whether this instance knows the orders of its disk, or those of an instance that does. Until
    /// then upstreams may be known whose evacuation is not.
    is_informed: bool,
    copies: Copies<Orders, Waiting>,
    writer: Writer,
    /// Orders on the disk of this instance, or `None` before the first write.
    stored: Option<Orders>,
    is_resend_scheduled: bool,
    write_timer: FixedTimerKey,
}

impl Evacuations {
    pub(super) fn new(log: Rc<RefCell<OrderLog>>, orders: Rc<RefCell<Orders>>) -> Self {
        Self {
            log,
            orders,
            is_informed: false,
            copies: Copies::default(),
            writer: Writer::default(),
            stored: None,
            is_resend_scheduled: false,
            write_timer: FixedTimerKey::default(),
        }
    }

    /// Forgets the copies of instances that are not among `live`.
    pub(super) fn retain_live(&mut self, live: &[Holder]) {
        self.copies.retain_live(live);
    }

    /// Returns whether the orders may be acted on.
    pub(super) fn is_informed(&self) -> bool {
        self.is_informed
    }

    /// Returns the digest with which other instances compare their orders.
    pub(super) fn digest_if_informed(&self) -> Option<u64> {
        self.is_informed.then(|| self.orders.borrow().digest())
    }

    /// Returns the evacuated data centres, sorted by name.
    pub(super) fn evacuated(&self) -> Vec<DataCentre> {
        self.orders.borrow().evacuated().cloned().collect()
    }

    fn orders(&self) -> Orders {
        self.orders.borrow().clone()
    }

    fn message(&self) -> Message {
        Message::Evacuations { orders: self.orders(), is_informed: self.is_informed }
    }
}

impl Feed {
    /// Restores the orders of the last run. The first process of a fleet has lost none.
    pub(super) fn restore_evacuations(
        &mut self,
        cx: CX![],
        cached: Option<Orders>,
        is_first_start: bool,
    ) {
        let is_informed = cached.is_some() || (self.is_control && is_first_start);
        self.merge_orders(cx, &cached.unwrap_or_default(), "disk");
        if is_informed {
            self.record_informed(cx);
        } else if self.is_control {
            after!(INFORM_TIMEOUT, [cx], record_informed());
        }
    }

    /// Records that the orders may be acted on.
    fn record_informed(&mut self, cx: CX![]) {
        if self.evacuations.is_informed {
            return;
        }
        self.evacuations.is_informed = true;
        // A file without orders tells the next process that none were lost.
        self.store_orders(cx);
        if self.document_number() > Number::default() {
            self.store_document(cx);
        }
        self.send_to_followers(Transport::Tcp, &self.evacuations.message());
        self.schedule_list(cx);
    }

    /// Takes over the orders that the log has committed.
    pub(crate) fn handle_orders_applied(&mut self, cx: CX![], _: Index) {
        let committed = self.evacuations.log.borrow().orders().clone();
        if self.merge_orders(cx, &committed, "log") {
            self.send_to_followers(Transport::Tcp, &self.evacuations.message());
        }
    }

    /// Takes over committed orders that the log here may not have applied yet.
    pub(crate) fn learn_orders(&mut self, cx: CX![], orders: Orders) {
        if self.merge_orders(cx, &orders, "order") {
            self.send_to_followers(Transport::Tcp, &self.evacuations.message());
        }
    }

    /// Merges `orders`, which are committed. Returns whether any were new.
    fn merge_orders(&mut self, cx: CX![], orders: &Orders, source: &str) -> bool {
        let new_orders = self.evacuations.orders.borrow_mut().merge(orders);
        if new_orders.is_empty() {
            return false;
        }
        for (data_centre, order) in new_orders {
            Event::Evacuation {
                data_centre: data_centre.to_string(),
                is_evacuated: order.is_evacuated,
                number: order.number.0,
                source: source.to_string(),
            }
            .write();
        }
        let evacuated = self.evacuations.orders.borrow().evacuated().count();
        let evacuated = i64::try_from(evacuated).unwrap_or(i64::MAX);
        self.metrics.relay.evacuated_data_centres.set(evacuated);
        self.store_orders(cx);
        self.schedule_list(cx);
        true
    }

    /// Sends a follower the orders if it has others, or may know too few.
    pub(super) fn compare_evacuations(&self, follower: &Instance, digest: Option<u64>) {
        if digest != Some(self.evacuations.orders.borrow().digest()) {
            self.send(follower.clone(), Transport::Tcp, &self.evacuations.message());
        }
    }

    /// Merges the orders of another instance, and forwards those that are new. A sender that lacks
    /// orders gets them in return.
    pub(super) fn receive_evacuations(
        &mut self,
        cx: CX![],
        sender: &Instance,
        orders: &Orders,
        is_informed: bool,
    ) {
        let is_new = self.merge_orders(cx, orders, sender.as_str());
        if is_informed {
            self.record_informed(cx);
        }
        if is_new && self.tree.forwards_updates_of(sender) {
            self.send_to_followers(Transport::Tcp, &self.evacuations.message());
        }
        if *self.evacuations.orders.borrow() != *orders {
            self.send(sender.clone(), Transport::Tcp, &self.evacuations.message());
        }
    }

    /// Calls `on_stored` once enough control instances have the committed order, or a later one
    /// about the same data centre, on disk.
    pub(crate) fn await_order_copies(
        &mut self,
        cx: CX![],
        data_centre: DataCentre,
        order: Order,
        on_stored: Ret<Storage>,
    ) {
        let single = Orders::single(data_centre.clone(), order);
        self.learn_orders(cx, single.clone());
        let arrived_at = cx.now();
        let expires_at = arrived_at + COPY_TIMEOUT;
        let waiting = Waiting { data_centre, order, arrived_at, on_stored };
        self.evacuations.copies.wait(single, expires_at, waiting);
        self.request_copies();
        self.end_order_waits(cx);
        at!(expires_at, [cx], end_order_waits());
        if !self.evacuations.is_resend_scheduled {
            self.evacuations.is_resend_scheduled = true;
            after!(RESEND_PERIOD, [cx], repeat_requests());
        }
    }

    fn request_copies(&self) {
        let request = Message::StoreEvacuations(self.evacuations.orders());
        for control in self.other_controls() {
            self.send(control, Transport::Tcp, &request);
        }
    }

    /// Asks for copies again, since requests and confirmations may be lost.
    fn repeat_requests(&mut self, cx: CX![]) {
        self.evacuations.is_resend_scheduled = self.evacuations.copies.is_waiting();
        if self.evacuations.is_resend_scheduled {
            self.request_copies();
            after!(RESEND_PERIOD, [cx], repeat_requests());
        }
    }

    /// Stores the orders of another control instance, and confirms that.
    pub(super) fn store_for(&mut self, cx: CX![], sender: &Instance, orders: &Orders) {
        if self.merge_orders(cx, orders, sender.as_str()) {
            self.send_to_followers(Transport::Tcp, &self.evacuations.message());
        }
        // Otherwise the end of the write confirms it.
        if let Some(stored) = self.evacuations.stored.as_ref().filter(|stored| orders <= stored) {
            let confirmation = Message::EvacuationsStored(stored.clone());
            self.send(sender.clone(), Transport::Tcp, &confirmation);
        }
    }

    /// Writes the orders to disk. The write begins at once unless another one runs.
    fn store_orders(&mut self, cx: CX![]) {
        // A file of an instance that may have lost orders would hide the loss from the next process.
        if self.is_control && self.evacuations.is_informed {
            self.evacuations.writer.add();
            self.continue_orders_write(cx);
        }
    }

    fn continue_orders_write(&mut self, cx: CX![]) {
        match self.evacuations.writer.next_step(cx.now()) {
            Step::Write(_) => self.begin_orders_write(cx),
            Step::Retry(until) => {
                cx.timer_del(self.evacuations.write_timer);
                self.evacuations.write_timer = at!(until, [cx], continue_orders_write());
            }
            Step::Wait => {}
        }
    }

    fn begin_orders_write(&mut self, cx: CX![]) {
        let orders = self.evacuations.orders();
        match &self.disk_cache {
            Some(disk_cache) => disk_cache.write_evacuations(orders),
            // The write never ends, because a data folder that cannot be used holds no copy.
            None if self.has_data_folder => {}
            // Without a data folder, memory is the only place for a copy.
            None => self.finish_orders_write(cx, orders, WriteResult::Stored),
        }
    }

    /// Handles the end of a write of `orders`.
    pub(super) fn finish_orders_write(&mut self, cx: CX![], orders: Orders, result: WriteResult) {
        self.evacuations.writer.finish(cx.now(), result);
        if result == WriteResult::Stored {
            let me = Holder { instance: self.me.clone(), data_centre: self.data_centre.clone() };
            self.evacuations.copies.record(me, orders.clone());
            let confirmation = Message::EvacuationsStored(orders.clone());
            for control in self.other_controls() {
                self.send(control, Transport::Tcp, &confirmation);
            }
            self.evacuations.stored = Some(orders);
            self.end_order_waits(cx);
        }
        self.continue_orders_write(cx);
    }

    /// Handles the confirmation that `sender` has `orders` on disk.
    pub(super) fn record_orders_copy(&mut self, cx: CX![], sender: &Instance, orders: Orders) {
        let holder = self.live_controls.iter().find(|holder| holder.instance == *sender);
        if let Some(holder) = holder.cloned() {
            self.evacuations.copies.record(holder, orders);
            self.end_order_waits(cx);
        }
    }

    /// Ends the waits for orders that have enough copies, and those that took too long.
    fn end_order_waits(&mut self, cx: CX![]) {
        let now = cx.now();
        for waiting in self.evacuations.copies.take_stored(self.requirement()) {
            let time = now.saturating_duration_since(waiting.arrived_at);
            self.metrics.relay.evacuation_stored.observe(time.as_secs_f64());
            Event::EvacuationStored {
                data_centre: waiting.data_centre.to_string(),
                number: waiting.order.number.0,
                after_ms: u64::try_from(time.as_millis()).unwrap_or(u64::MAX),
            }
            .write();
            ret!([waiting.on_stored], Storage::Stored);
        }
        for waiting in self.evacuations.copies.take_expired(now) {
            ret!([waiting.on_stored], Storage::TooFewCopies);
        }
    }
}
