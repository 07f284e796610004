//! Actor that holds the newest catalogue and the upstreams, and distributes them.

mod announcements;
mod departures;
mod disk_cache;
mod document_copies;
mod documents;
mod evacuations;
mod leaves;
mod message;

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use catalogue::{Catalogue, Lack, Newest, Number, Outflow};
use membership::Member;
use names::{DataCentre, Instance};
use rand::RngExt;
use roster::durability::{Holder, Pledges, Rounds, Writer};
use roster::{Announcement, Roster, Tree};
use settings::{Role, Settings};
use stakker::{Actor, CX, FixedTimerKey, Fwd, after, call, fwd_to};
use telemetry::Metrics;
use wire::{Delivery, Hub, Outgoing, Slice, Transport};

use crate::interface::DocumentFormat;
use crate::shared_state::SharedState;
use disk_cache::{CachedState, DiskCache, WriteEnd};
use document_copies::DocumentCopies;
pub(crate) use document_copies::Storage;
use evacuations::Evacuations;
use eventloop::mailbox;
use instance::View;
use leaves::Waiting;
pub(crate) use leaves::{Acknowledgement, Leaving, Refusal};
use message::Message;

/// Interval at which an instance sends its state to the instances that it follows. Updates are
/// pushed, and this message detects a lost update well within the time in which a change has to
/// take effect.
const FOLLOW_PERIOD: Duration = Duration::from_millis(500);

/// Time for which a follower gets updates after its last [`Message::Follow`].
const FOLLOWER_TIMEOUT: Duration = Duration::from_secs(4);

/// Interval at which followers get a report of the upstreams that announced themselves.
const HEARD_REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Time for which changes of upstreams are collected before the forwarder gets the new list: a
/// small part of the time in which the leave of an upstream has to be known.
const LIST_DELAY: Duration = Duration::from_millis(20);

/// Time for which records are collected before they are written to disk.
const CACHE_WRITE_DELAY: Duration = Duration::from_millis(100);

/// An upstream that has not left.
#[derive(Debug, Clone)]
pub(crate) struct KnownUpstream {
    pub(crate) announcement: Announcement,
    /// Time of the last announcement.
    pub(crate) last_heard: Instant,
    /// Time until which the upstream is cold, by its announcement.
    pub(crate) cold_until: Option<Instant>,
}

/// The upstreams that an entry instance knows.
#[derive(Debug, Clone, Default)]
pub(crate) struct UpstreamList {
    pub(crate) upstreams: Vec<KnownUpstream>,
    /// Time of the last report of a control instance about the upstreams that it hears from.
    pub(crate) last_report: Option<Instant>,
    /// Evacuated data centres, whose upstreams get no new requests.
    pub(crate) evacuated: Vec<DataCentre>,
}

struct Follower {
    instance: Instance,
    expires_at: Instant,
}

/// Receivers of updates within the instance.
pub(crate) struct Listeners {
    pub(crate) catalogue: Fwd<Rc<Catalogue>>,
    pub(crate) upstreams: Fwd<Rc<UpstreamList>>,
}

/// Holds and distributes the newest catalogue and the roster of upstreams.
pub(crate) struct Feed {
    me: Instance,
    data_centre: DataCentre,
    hub: Actor<Hub>,
    documents: Rc<dyn DocumentFormat>,
    newest: Rc<RefCell<Newest>>,
    /// Number of the document that the listeners have.
    active_number: Number,
    roster: Roster,
    last_report: Option<Instant>,
    is_control: bool,
    /// Selects the instances to follow.
    tree: Tree,
    /// Instances that are followed now.
    followed: Vec<Instance>,
    /// Other control instances that have not sent their departures yet, sorted.
    unheard_sources: Vec<Instance>,
    is_large_fleet: bool,
    /// Other entry instances of the data centre.
    neighbours: Vec<Instance>,
    followers: Vec<Follower>,
    /// Sorted short hashes of the names of the upstreams that announced themselves since the last
    /// report to followers.
    heard_since_report: Vec<u32>,
    /// Whether a new list for the forwarder is scheduled.
    is_list_scheduled: bool,
    /// Whether a write of the records to disk is scheduled.
    is_write_scheduled: bool,
    fetch_started: Option<Instant>,
    missing_document: Lack,
    outflow: Outflow,
    send_timer: FixedTimerKey,
    listeners: Listeners,
    disk_cache: Option<DiskCache>,
    /// Whether the settings name a data folder, which may not be usable.
    has_data_folder: bool,
    losses_borne: usize,
    /// Number of control instances that the settings name.
    seed_count: usize,
    /// Live control instances, including this one if it is one.
    live_controls: Vec<Holder>,
    /// Writes of leaves to the disk of this instance.
    writer: Writer,
    /// Acknowledgements that wait until leaves are durable.
    rounds: Rounds<Waiting>,
    /// Confirmations that other control instances wait for.
    pledges: Pledges,
    is_resend_scheduled: bool,
    write_timer: FixedTimerKey,
    /// Copies of the newest document on the disks of control instances.
    document_copies: DocumentCopies,
    /// Orders to evacuate data centres.
    evacuations: Evacuations,
    metrics: Arc<Metrics>,
}

impl Feed {
    pub(crate) fn init(
        cx: CX![],
        settings: Rc<Settings>,
        hub: Actor<Hub>,
        documents: Rc<dyn DocumentFormat>,
        state: SharedState,
        listeners: Listeners,
        metrics: Arc<Metrics>,
    ) -> Option<Self> {
        let is_control = settings.has_role(Role::Control);
        let data_folder = settings.data_folder.clone().filter(|_| is_control);
        after!(FOLLOW_PERIOD, [cx], follow());
        after!(HEARD_REPORT_PERIOD, [cx], report_heard());
        let has_data_folder = data_folder.is_some();
        let write_ended = fwd_to!([cx], finish_write() as (WriteEnd));
        let write_ended = mailbox(cx, write_ended);
        let opened = data_folder.and_then(|folder| DiskCache::open(&folder, write_ended));
        let (disk_cache, cached) = opened
            .map_or((None, CachedState::default()), |(disk_cache, cached)| {
                (Some(disk_cache), cached)
            });
        let holder = Holder {
            instance: settings.instance.clone(),
            data_centre: settings.data_centre.clone(),
        };
        let mut feed = Self {
            me: settings.instance.clone(),
            data_centre: settings.data_centre.clone(),
            hub,
            documents,
            newest: state.newest,
            active_number: Number::default(),
            roster: Roster::default(),
            last_report: None,
            is_control,
            tree: Tree::new(settings.instance.clone(), is_control),
            followed: Vec::new(),
            unheard_sources: Vec::new(),
            is_large_fleet: false,
            neighbours: Vec::new(),
            followers: Vec::new(),
            heard_since_report: Vec::new(),
            is_list_scheduled: false,
            is_write_scheduled: false,
            fetch_started: None,
            missing_document: Lack::default(),
            outflow: Outflow::new(settings.direct.link_megabits),
            send_timer: FixedTimerKey::default(),
            listeners,
            disk_cache,
            has_data_folder,
            losses_borne: settings.losses_borne,
            seed_count: settings.seeds.len(),
            live_controls: Vec::new(),
            writer: Writer::default(),
            rounds: Rounds::new(holder, rand::rng().random()),
            pledges: Pledges::default(),
            is_resend_scheduled: false,
            write_timer: FixedTimerKey::default(),
            document_copies: DocumentCopies::default(),
            evacuations: Evacuations::new(state.order_log, state.orders),
            metrics,
        };
        feed.set_live_controls(&[]);
        feed.restore_evacuations(cx, cached.evacuations.clone(), settings.first_start);
        feed.restore_cached(cx, cached);
        Some(feed)
    }

    /// Restores the cached state of the last run.
    fn restore_cached(&mut self, cx: CX![], cached: CachedState) {
        for record in cached.records {
            self.roster.merge(cx.now(), record);
        }
        for departure in cached.departures {
            self.roster.restore_departure(cx.now(), departure);
        }
        if !self.roster.leaves().is_empty() || self.roster.departure_count() > 0 {
            // A crashed process may have replaced the file without syncing the directory.
            self.store_leaves(cx);
        }
        if let Some(document) = cached.document {
            self.newest.borrow_mut().adopt(document);
            self.activate_newest(cx, "disk");
        }
        self.schedule_list(cx);
    }

    /// Updates the members, and the instances to follow among them.
    pub(crate) fn set_view(&mut self, cx: CX![], view: View) {
        let (controls, entries): (Vec<Member>, Vec<Member>) =
            view.members.into_iter().partition(|member| member.is_control);
        self.set_live_controls(&controls);
        let controls: Vec<Instance> = controls.into_iter().map(|member| member.instance).collect();
        self.metrics.relay.sources.set(i64::try_from(controls.len()).unwrap_or(i64::MAX));
        self.is_large_fleet =
            forward::is_large_fleet(entries.len() + usize::from(!self.is_control));
        let local = entries.into_iter().filter(|member| member.data_centre == self.data_centre);
        self.neighbours = local.map(|member| member.instance).collect();
        self.tree.set_members(cx.now(), controls, &self.neighbours, self.is_large_fleet);
        let added = self.update_followed(cx.now());
        for source in &added {
            self.send(source.clone(), Transport::Udp, &self.follow_message());
        }
        self.want_departures(added);
    }

    /// Selects the instances to follow, and returns those that were not followed before.
    fn update_followed(&mut self, now: Instant) -> Vec<Instance> {
        let previous = std::mem::replace(&mut self.followed, self.tree.followed(now));
        self.followed.iter().filter(|source| !previous.contains(source)).cloned().collect()
    }

    fn follow_message(&self) -> Message {
        Message::Follow {
            number: self.document_number(),
            roster: self.roster.digest(),
            evacuations: self.evacuations.digest_if_informed(),
        }
    }

    /// Returns the number of the newest document at this instance.
    fn document_number(&self) -> Number {
        self.newest.borrow().document().number
    }

    fn follow(&mut self, cx: CX![]) {
        let added = self.update_followed(cx.now());
        for source in &self.followed {
            self.send(source.clone(), Transport::Udp, &self.follow_message());
        }
        self.want_departures(added);
        after!(FOLLOW_PERIOD, [cx], follow());
    }

    fn send(&self, addressee: Instance, transport: Transport, message: &Message) {
        match wire::encode(message) {
            Ok(payload) => {
                let outgoing = Outgoing { addressee, slice: Slice::Feed, transport, payload };
                call!([self.hub], send(outgoing));
            }
            Err(error) => {
                log::error!(
                    "dropped a message for instance {addressee}: cannot encode it: {error}"
                );
            }
        }
    }

    fn send_to_followers(&self, transport: Transport, message: &Message) {
        for follower in &self.followers {
            self.send(follower.instance.clone(), transport, message);
        }
    }

    /// Handles a message of another instance.
    pub(crate) fn deliver(&mut self, cx: CX![], delivery: Delivery) {
        let sender = delivery.sender;
        match wire::decode("message of the feed", &delivery.payload) {
            Ok(message) => self.receive(cx, sender, message),
            Err(error) => log::warn!("ignored a message from instance {sender}: {error}"),
        }
    }

    fn receive(&mut self, cx: CX![], sender: Instance, message: Message) {
        let now = cx.now();
        self.tree.record_message(now, &sender);
        match message {
            Message::Follow { number, roster, evacuations } => {
                self.compare_evacuations(&sender, evacuations);
                self.answer_follow(cx, sender, number, roster);
            }
            Message::HasDocument(number) => self.receive_document_number(cx, sender, number),
            Message::RosterDigests(digests) => {
                let buckets = self.roster.differing(&digests);
                if buckets != 0 {
                    self.send(sender, Transport::Udp, &Message::WantRecords(buckets));
                }
            }
            Message::WantRecords(buckets) => {
                let records = Message::Records(self.roster.records_to_send(now, buckets));
                self.send(sender, Transport::Tcp, &records);
            }
            Message::FetchDocument(number) => self.send_update(cx, sender, number),
            Message::Document(document) => self.receive_document(cx, &sender, document),
            Message::Changes(changes) => self.apply_changes(cx, &sender, &changes),
            Message::Records(records) => self.receive_records(cx, &sender, records),
            Message::HeardUpstreams(heard) => self.receive_heard(cx, &sender, &heard),
            Message::StoreLeave(ticket, leave) => self.receive_leave(cx, sender, ticket, leave),
            Message::LeaveStored(ticket) => self.record_copy(cx, &sender, ticket),
            Message::DocumentStored(number) => self.record_document_copy(cx, &sender, number),
            Message::Evacuations { orders, is_informed } => {
                self.receive_evacuations(cx, &sender, &orders, is_informed)
            }
            Message::StoreEvacuations(orders) => self.store_for(cx, &sender, &orders),
            Message::EvacuationsStored(orders) => self.record_orders_copy(cx, &sender, orders),
            Message::WantDepartures => {
                let departures = Message::Departures(self.roster.departures(now));
                self.send(sender, Transport::Tcp, &departures);
            }
            Message::Departures(reports) => self.receive_departures(cx, &sender, reports),
        }
    }

    /// Handles the end of a write to the disk cache.
    fn finish_write(&mut self, cx: CX![], end: WriteEnd) {
        match end {
            WriteEnd::Document(number, result) => self.finish_document_write(cx, number, result),
            WriteEnd::Leaves(result) => self.finish_leaves_write(cx, result),
            WriteEnd::Evacuations(orders, result) => self.finish_orders_write(cx, orders, result),
        }
    }

    /// Sends a follower the updates that it is missing.
    fn answer_follow(&mut self, cx: CX![], sender: Instance, number: Number, roster: u64) {
        let now = cx.now();
        let expires_at = now + FOLLOWER_TIMEOUT;
        self.followers.retain(|follower| now < follower.expires_at && follower.instance != sender);
        self.followers.push(Follower { instance: sender.clone(), expires_at });
        if roster != self.roster.digest() {
            let digests = Message::RosterDigests(self.roster.digests());
            self.send(sender.clone(), Transport::Udp, &digests);
        }
        if number < self.document_number() {
            let notice = Message::HasDocument(self.document_number());
            self.send(sender.clone(), Transport::Udp, &notice);
        }
        self.report_document_copy(&sender);
        self.fetch_if_newer(cx, sender, number);
    }

    /// Schedules a new list for the forwarder, which gets none before the evacuations are known.
    fn schedule_list(&mut self, cx: CX![]) {
        let is_wanted = !self.is_control && self.evacuations.is_informed();
        if is_wanted && !self.is_list_scheduled {
            self.is_list_scheduled = true;
            after!(LIST_DELAY, [cx], send_list());
        }
    }

    fn send_list(&mut self, _: CX![]) {
        self.is_list_scheduled = false;
        let known = self.roster.present().map(|(announcement, last_heard)| KnownUpstream {
            announcement: announcement.clone(),
            last_heard,
            cold_until: self.roster.cold_until(&announcement.upstream),
        });
        let list = UpstreamList {
            upstreams: known.collect(),
            last_report: self.last_report,
            evacuated: self.evacuations.evacuated(),
        };
        self.listeners.upstreams.fwd(Rc::new(list));
    }
}
