//! The actor that knows the newest catalogue and the upstreams, and spreads them.

mod message;
mod shelf;

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use catalogue::{Catalogue, Document, Newest, Number};
use entry::Reply;
use membership::Member;
use names::{DataCentre, Instance, Upstream};
use roster::{Announcement, Record, Roster, Taken};
use settings::{Role, Settings};
use stakker::{Actor, CX, Fwd, after, call};
use state::Index;
use telemetry::{Event, Metrics};
use wire::{Delivery, Hub, Outgoing, Slice, Transport};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::interface::Documents;
use instance::View;
use message::Message;
use shelf::{Kept, Shelf};

/// How often an instance tells those that it follows what it has. News are pushed; this finds
/// what was lost, well within the time in which a change has to be in force.
const FOLLOW_PERIOD: Duration = Duration::from_millis(500);

/// How long a follower is told news after it last asked.
const FOLLOWER_SPAN: Duration = Duration::from_secs(4);

/// How often followers are told who announced itself.
const HEARD_PERIOD: Duration = Duration::from_secs(1);

/// Names in one message about announcements, so that it fits a datagram.
const HEARD_NAMES: usize = 40;

/// How long an answer to a request for the document may take before another instance is asked.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);

/// Entry instances of a data centre that ask control instances for a new document.
const OPENERS: usize = 2;

/// How long the others wait for these, a small part of the time in which a document has to be in
/// force everywhere.
const OPENER_TIME: Duration = Duration::from_millis(500);

/// An upstream that did not leave.
#[derive(Debug, Clone)]
pub(crate) struct Known {
    pub(crate) announcement: Announcement,
    /// When it was heard last.
    pub(crate) heard: Instant,
}

/// The upstreams as an entry instance knows them.
#[derive(Debug, Clone, Default)]
pub(crate) struct Listing {
    pub(crate) upstreams: Vec<Known>,
    /// When a control instance last said whom it hears.
    pub(crate) told: Option<Instant>,
}

struct Follower {
    instance: Instance,
    until: Instant,
}

/// Where the feed's news go within the instance.
pub(crate) struct Listeners {
    pub(crate) catalogue: Fwd<Rc<Catalogue>>,
    pub(crate) upstreams: Fwd<Rc<Listing>>,
}

/// Keeps and spreads the newest catalogue and the roster of upstreams.
pub(crate) struct Feed {
    me: Instance,
    data_centre: DataCentre,
    hub: Actor<Hub>,
    documents: Rc<dyn Documents>,
    newest: Rc<RefCell<Newest>>,
    /// The number of the document that the listeners have.
    in_force: Number,
    roster: Roster,
    told: Option<Instant>,
    is_control: bool,
    /// Control instances that are followed.
    sources: Vec<Instance>,
    /// Other entry instances of the data centre.
    neighbours: Vec<Instance>,
    followers: Vec<Follower>,
    /// Upstreams that announced themselves here since followers were told.
    heard: Vec<Upstream>,
    fetched_at: Option<Instant>,
    listeners: Listeners,
    shelf: Option<Shelf>,
    metrics: Arc<Metrics>,
}

impl Feed {
    pub(crate) fn init(
        cx: CX![],
        settings: Rc<Settings>,
        hub: Actor<Hub>,
        documents: Rc<dyn Documents>,
        newest: Rc<RefCell<Newest>>,
        listeners: Listeners,
        metrics: Arc<Metrics>,
    ) -> Option<Self> {
        let is_control = settings.has_role(Role::Control);
        let data_folder = settings.data_folder.clone().filter(|_| is_control);
        after!(FOLLOW_PERIOD, [cx], follow());
        if is_control {
            after!(HEARD_PERIOD, [cx], tell_heard());
        }
        let opened = data_folder.and_then(|folder| Shelf::open(&folder));
        let (shelf, kept) = opened.map_or((None, Kept::default()), |(one, kept)| (Some(one), kept));
        let mut feed = Self {
            me: settings.instance.clone(),
            data_centre: settings.data_centre.clone(),
            hub,
            documents,
            newest,
            in_force: Number::default(),
            roster: Roster::default(),
            told: None,
            is_control,
            sources: Vec::new(),
            neighbours: Vec::new(),
            followers: Vec::new(),
            heard: Vec::new(),
            fetched_at: None,
            listeners,
            shelf,
            metrics,
        };
        feed.take_kept(cx.now(), kept);
        Some(feed)
    }

    /// Starts with what the last run knew.
    fn take_kept(&mut self, now: Instant, kept: Kept) {
        for record in kept.records {
            self.roster.take(now, record);
        }
        if let Some(document) = kept.document {
            self.newest.borrow_mut().adopt(document);
            self.take_newest("disk");
        }
        self.list();
    }

    /// Follows all control instances that live.
    pub(crate) fn set_view(&mut self, _: CX![], view: View) {
        let is_near = |one: &&Member| !one.is_control && one.data_centre == self.data_centre;
        let neighbours = view.members.iter().filter(is_near);
        self.neighbours = neighbours.map(|member| member.instance.clone()).collect();
        let controls = view.members.into_iter().filter(|member| member.is_control);
        let sources: Vec<Instance> = controls.map(|member| member.instance).collect();
        self.metrics.relay.sources.set(i64::try_from(sources.len()).unwrap_or(i64::MAX));
        let added: Vec<Instance> =
            sources.iter().filter(|source| !self.sources.contains(source)).cloned().collect();
        self.sources = sources;
        for source in added {
            self.send(source, Transport::Udp, &self.standing());
        }
    }

    fn standing(&self) -> Message {
        Message::Follow { number: self.number(), roster: self.roster.digest() }
    }

    /// The number of the newest document here.
    fn number(&self) -> Number {
        self.newest.borrow().document().number
    }

    fn follow(&mut self, cx: CX![]) {
        for source in self.sources.clone() {
            self.send(source, Transport::Udp, &self.standing());
        }
        after!(FOLLOW_PERIOD, [cx], follow());
    }

    fn send(&self, addressee: Instance, transport: Transport, message: &Message) {
        match wire::encode(message) {
            Ok(payload) => {
                let outgoing = Outgoing { addressee, slice: Slice::Feed, transport, payload };
                call!([self.hub], send(outgoing));
            }
            Err(error) => log::error!("a message for instance {addressee} was dropped: {error}"),
        }
    }

    fn tell_followers(&self, transport: Transport, message: &Message) {
        for follower in &self.followers {
            self.send(follower.instance.clone(), transport, message);
        }
    }

    /// Tells followers of the committed document, after the log has changed it.
    pub(crate) fn note_applied(&mut self, _: CX![], _: Index) {
        if self.take_newest("log") {
            self.tell_followers(Transport::Udp, &Message::Standing(self.number()));
        }
    }

    /// Puts the newest document in force; false when it is in force already.
    fn take_newest(&mut self, source: &str) -> bool {
        let number = self.number();
        if number <= self.in_force {
            return false;
        }
        if let Some(shelf) = &self.shelf {
            shelf.keep_document(self.newest.borrow().document().clone());
        }
        let text = self.newest.borrow().document().text();
        let read = text.ok_or_else(|| "it cannot be unpacked".to_string());
        let read = read.and_then(|text| self.documents.read(&text));
        let read =
            read.and_then(|draft| Catalogue::try_from(draft).map_err(|error| error.to_string()));
        match read {
            Ok(catalogue) => {
                let (number, before) = (number.0, self.in_force.0);
                let source = source.to_string();
                Event::Catalogue { number, before, source }.tell();
                let number = Number(number);
                self.in_force = number;
                self.listeners.catalogue.fwd(Rc::new(catalogue));
            }
            Err(problem) => log::error!("catalogue {number} cannot be used: {problem}"),
        }
        true
    }

    /// Takes a message of another instance.
    pub(crate) fn deliver(&mut self, cx: CX![], delivery: Delivery) {
        let sender = delivery.sender;
        match wire::decode("message of the feed", &delivery.payload) {
            Ok(message) => self.receive(cx, sender, message),
            Err(error) => log::warn!("instance {sender}: {error}"),
        }
    }

    fn receive(&mut self, cx: CX![], sender: Instance, message: Message) {
        let now = cx.now();
        match message {
            Message::Follow { number, roster } => self.answer(now, sender, number, roster),
            Message::Standing(number) => self.hear_standing(cx, sender, number),
            Message::Digests(digests) => {
                let want = self.roster.differing(&digests);
                if want != 0 {
                    self.send(sender, Transport::Udp, &Message::Want(want));
                }
            }
            Message::Want(buckets) => {
                let records = Message::Records(self.roster.records_in(buckets));
                self.send(sender, Transport::Tcp, &records);
            }
            Message::Fetch => {
                let document = self.newest.borrow().document().clone();
                self.send(sender, Transport::Tcp, &Message::Document(document));
            }
            Message::Document(document) => self.adopt(&sender, document),
            Message::Records(records) => self.learn(now, &sender, records),
            Message::Heard(upstreams) => {
                upstreams.iter().for_each(|upstream| self.roster.hear(now, upstream));
                self.told = Some(now);
                self.list();
            }
        }
    }

    /// Sends a follower what it lacks.
    fn answer(&mut self, now: Instant, sender: Instance, number: Number, roster: u64) {
        let until = now + FOLLOWER_SPAN;
        self.followers.retain(|one| now < one.until && one.instance != sender);
        self.followers.push(Follower { instance: sender.clone(), until });
        if roster != self.roster.digest() {
            let digests = Message::Digests(self.roster.digests());
            self.send(sender.clone(), Transport::Udp, &digests);
        }
        if number < self.number() {
            let standing = Message::Standing(self.number());
            self.send(sender.clone(), Transport::Udp, &standing);
        }
        self.compare(now, sender, number);
    }

    /// Hears that an instance has a document. Of the entry instances of a data centre a few ask a
    /// control instance for it, whose link is narrow; the others wait for these.
    fn hear_standing(&mut self, cx: CX![], sender: Instance, number: Number) {
        if number <= self.number() {
            return;
        }
        if self.is_control || self.neighbours.contains(&sender) || self.is_opener(number) {
            self.compare(cx.now(), sender, number);
        } else {
            after!(OPENER_TIME, [cx], hear_late(sender, number));
        }
    }

    /// Asks for a document that no neighbour brought in time.
    fn hear_late(&mut self, cx: CX![], sender: Instance, number: Number) {
        self.compare(cx.now(), sender, number);
    }

    /// Whether this instance is among those of its data centre that ask control instances first
    /// for the document `number`.
    fn is_opener(&self, number: Number) -> bool {
        let weight = |one: &Instance| xxh3_64_with_seed(one.as_str().as_bytes(), number.0);
        let own = weight(&self.me);
        self.neighbours.iter().filter(|one| weight(one) > own).count() < OPENERS
    }

    /// Asks for the document of an instance that has a newer one.
    fn compare(&mut self, now: Instant, sender: Instance, number: Number) {
        let is_asked = self.fetched_at.is_some_and(|at| now < at + FETCH_TIMEOUT);
        if number > self.number() && !is_asked {
            self.fetched_at = Some(now);
            self.send(sender, Transport::Tcp, &Message::Fetch);
        }
    }

    fn adopt(&mut self, sender: &Instance, document: Document) {
        self.fetched_at = None;
        if self.newest.borrow_mut().adopt(document) {
            self.take_newest(sender.as_str());
            let standing = Message::Standing(self.number());
            if self.is_control {
                self.tell_followers(Transport::Udp, &standing);
            } else if !self.neighbours.contains(sender) {
                for neighbour in self.neighbours.clone() {
                    self.send(neighbour, Transport::Udp, &standing);
                }
            }
        }
    }

    /// Learns records of another instance, and passes on what is new.
    fn learn(&mut self, now: Instant, sender: &Instance, records: Vec<Record>) {
        let mut news = Vec::new();
        for record in records {
            if self.roster.take(now, record.clone()) == Taken::News {
                note(&record.announcement, sender.as_str());
                news.push(record);
            }
        }
        self.spread(news);
    }

    fn spread(&mut self, news: Vec<Record>) {
        if news.is_empty() {
            return;
        }
        if self.is_control {
            self.tell_followers(Transport::Tcp, &Message::Records(news));
        }
        if let Some(shelf) = &self.shelf {
            shelf.keep_records(self.roster.records());
        }
        self.list();
    }

    fn list(&self) {
        let known = self
            .roster
            .present()
            .map(|(announcement, heard)| Known { announcement: announcement.clone(), heard });
        let listing = Listing { upstreams: known.collect(), told: self.told };
        self.listeners.upstreams.fwd(Rc::new(listing));
    }

    /// Takes the announcement of an upstream, and acknowledges it once it is on its way to all
    /// followers.
    pub(crate) fn announce(
        &mut self,
        cx: CX![],
        announcement: Announcement,
        acknowledgement: Reply,
        reply: Fwd<Reply>,
    ) {
        let upstream = announcement.upstream.clone();
        let record = Record { announcement };
        match self.roster.take(cx.now(), record.clone()) {
            Taken::News => {
                note(&record.announcement, "itself");
                self.heard(upstream);
                self.spread(vec![record]);
            }
            Taken::Repeated => self.heard(upstream),
            Taken::Stale => log::debug!("upstream {upstream}: a late announcement changes nothing"),
        }
        reply.fwd(acknowledgement);
    }

    /// Takes the word of an upstream that it leaves.
    pub(crate) fn withdraw(
        &mut self,
        cx: CX![],
        upstream: Upstream,
        born: Option<u64>,
        acknowledgement: Reply,
        reply: Fwd<Reply>,
    ) {
        if self.roster.withdraw(cx.now(), &upstream, born) == Taken::News
            && let Some(record) = self.roster.get(&upstream).cloned()
        {
            note(&record.announcement, "itself");
            self.spread(vec![record]);
        }
        reply.fwd(acknowledgement);
    }

    fn heard(&mut self, upstream: Upstream) {
        if let Err(index) = self.heard.binary_search(&upstream) {
            self.heard.insert(index, upstream);
        }
    }

    fn tell_heard(&mut self, cx: CX![]) {
        let heard = std::mem::take(&mut self.heard);
        if heard.is_empty() {
            // Followers have to know that this instance would say if it heard someone.
            self.tell_followers(Transport::Udp, &Message::Heard(Vec::new()));
        }
        for names in heard.chunks(HEARD_NAMES) {
            self.tell_followers(Transport::Udp, &Message::Heard(names.to_vec()));
        }
        after!(HEARD_PERIOD, [cx], tell_heard());
    }
}

fn note(announcement: &Announcement, source: &str) {
    Event::Upstream {
        upstream: announcement.upstream.to_string(),
        service: announcement.service.to_string(),
        address: announcement.address.to_string(),
        standing: announcement.standing.to_string(),
        born: announcement.born,
        sequence: announcement.sequence,
        source: source.to_string(),
    }
    .tell();
}
