//! The actor that knows the upstreams and gives permits to call them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use declare::{Declarations, Target};
use membership::Member;
use names::{Instance, Upstream};
use operator::Response;
use placement::{Candidate, Knowledge, Policy};
use rand::RngExt;
use serde_json::json;
use settings::Settings;
use stakker::{Actor, CX, Fwd, Ret, after, call, ret};
use telemetry::Metrics;
use upstream::{Action, Announcement, Change, Directory, Entry, Load, Message};
use wire::{Delivery, Hub, Outgoing, Slice, Transport, decode, encode};

use crate::listing::Listed;
use crate::members::View;
use crate::operators::Ask;

/// How often the directory does what is due.
const TICK: Duration = Duration::from_millis(100);

/// How long a new instance waits for others of its data centre before it serves alone.
const ALONE_AFTER: Duration = Duration::from_secs(3);

/// A request for a permit.
pub(crate) struct Wanted {
    pub(crate) target: Target,
    pub(crate) key: u64,
    pub(crate) tried: Vec<Upstream>,
}

/// Leave to call an upstream once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Permit {
    pub(crate) upstream: Upstream,
    pub(crate) address: SocketAddr,
}

/// Outcome of asking for a permit.
pub(crate) enum Placed {
    Granted(Permit),
    Full,
    NoUpstream,
}

struct InFlight {
    upstream: Upstream,
    count: u32,
}

/// Knows the upstreams of the data centre.
pub(crate) struct Placer {
    settings: Rc<Settings>,
    hub: Actor<Hub>,
    metrics: Arc<Metrics>,
    directory: Directory,
    alone_at: Instant,
    has_members: bool,
    declarations: Rc<Declarations>,
    policy: Box<dyn Policy>,
    in_flight: Vec<InFlight>,
}

impl Placer {
    pub(crate) fn init(
        cx: CX![],
        settings: Rc<Settings>,
        hub: Actor<Hub>,
        metrics: Arc<Metrics>,
    ) -> Option<Self> {
        after!(TICK, [cx], tick());
        let directory = Directory::new(cx.now(), settings.instance.clone(), rand::rng().random());
        let is_configured = |peer: &settings::Peer| peer.data_centre == settings.data_centre;
        let is_alone = !settings.peers.iter().any(is_configured);
        let alone_at = if is_alone { cx.now() } else { cx.now() + ALONE_AFTER };
        let policies = &settings.policies;
        let policy = policies.placement.policy(policies.load_bound_percent, rand::rng().random());
        Some(Self {
            directory,
            alone_at,
            has_members: false,
            settings,
            hub,
            metrics,
            declarations: Rc::default(),
            policy,
            in_flight: Vec::new(),
        })
    }

    /// Puts declarations in force for permits that are asked for from now on.
    pub(crate) fn set_declarations(&mut self, _: CX![], declarations: Rc<Declarations>) {
        self.declarations = declarations;
    }

    /// Takes an announcement that an upstream made to this instance.
    pub(crate) fn announce(&mut self, cx: CX![], ask: Ask) {
        match Announcement::try_from(ask.request.body.as_slice()) {
            Ok(announcement) if announcement.data_centre != self.settings.data_centre => {
                let message = format!(
                    "upstream \"{}\" is in data centre \"{}\", this instance in \"{}\"; announce \
                     it to an instance of its own data centre",
                    announcement.upstream, announcement.data_centre, self.settings.data_centre
                );
                ask.answer(Response::error(400, "other_data_centre", message));
            }
            Ok(announcement) => {
                let (change, actions) = self.directory.announce(cx.now(), announcement);
                self.perform(actions);
                ask.answer(Response::json(200, &json!({ "change": change.to_string() })));
            }
            Err(error) => {
                ask.answer(Response::error(400, "invalid_announcement", error.to_string()));
            }
        }
    }

    /// Takes an upstream's load report.
    pub(crate) fn report(&mut self, _: CX![], ask: Ask) {
        let reported = Load::try_from(ask.request.body.as_slice())
            .and_then(|load| self.directory.registry_mut().report(load));
        match reported {
            Ok(()) => ask.answer(Response::json(200, &json!({}))),
            Err(error) => ask.answer(Response::error(400, "invalid_load", error.to_string())),
        }
    }

    /// Lists the known upstreams.
    pub(crate) fn list(&mut self, _: CX![], ask: Ask) {
        let entries = self.directory.registry().iter();
        let upstreams: Vec<Listed<'_>> = entries
            .map(|entry| {
                let in_flight = self.in_flight(&entry.announcement.upstream);
                Listed::new(entry, in_flight, &self.declarations)
            })
            .collect();
        ask.answer(Response::json(200, &upstreams));
    }

    /// Gives the announcements of all known upstreams, in the order of their names.
    pub(crate) fn announcements(&mut self, _: CX![], given: Ret<Vec<Announcement>>) {
        let known = self.directory.registry().iter();
        ret!([given], known.map(|entry| entry.announcement.clone()).collect());
    }

    /// Passes the question for readiness on once this instance knows all upstreams of its data
    /// centre.
    pub(crate) fn ready(&mut self, cx: CX![], ask: Ask, next: Fwd<Ask>) {
        if self.is_ready(cx.now()) {
            next.fwd(ask);
        } else {
            ask.answer(Response::text(503, "learning the upstreams\n"));
        }
    }

    fn is_ready(&self, now: Instant) -> bool {
        self.directory.has_learned() || (!self.has_members && self.alone_at <= now)
    }

    /// Takes a change of the members.
    pub(crate) fn set_view(&mut self, cx: CX![], view: View) {
        let is_local = |member: &Member| member.data_centre == self.settings.data_centre;
        let members = view.members.into_iter().filter(is_local);
        let members: Vec<_> = members.map(|member| member.instance).collect();
        self.has_members = !members.is_empty();
        self.directory.set_members(cx.now(), members);
    }

    /// Takes a message of a peer.
    pub(crate) fn deliver(&mut self, cx: CX![], delivery: Delivery) {
        match decode::<Message>("message about upstreams", &delivery.payload) {
            Ok(message) => {
                let actions = self.directory.receive(cx.now(), &delivery.sender, message);
                self.perform(actions);
            }
            Err(error) => log::warn!("instance {}: {error}", delivery.sender),
        }
    }

    /// Asks for a permit.
    pub(crate) fn place(&mut self, _: CX![], wanted: Wanted, placed: Ret<Placed>) {
        let mut candidates: Vec<_> = self
            .directory
            .registry()
            .available(&wanted.target)
            .filter(|entry| !wanted.tried.contains(&entry.announcement.upstream))
            .filter(|entry| !self.declarations.is_drained(&entry.announcement.labels))
            .map(|entry| Candidate {
                upstream: entry.announcement.upstream.clone(),
                slots: entry.announcement.slots,
                in_flight: self.load(entry),
            })
            .collect();
        if candidates.is_empty() {
            ret!([placed], Placed::NoUpstream);
            return;
        }
        self.policy.order(wanted.key, &mut candidates);
        let chosen = candidates.iter().find(|candidate| candidate.in_flight < candidate.slots);
        let permit = chosen.and_then(|candidate| self.grant(&candidate.upstream));
        if let Some(permit) = &permit {
            self.policy.placed(wanted.key, &permit.upstream);
        }
        ret!([placed], permit.map_or(Placed::Full, Placed::Granted));
    }

    /// Gives a permit back.
    pub(crate) fn release(&mut self, _: CX![], permit: Permit) {
        if let Ok(index) = self.find(&permit.upstream) {
            self.in_flight[index].count -= 1;
            if self.in_flight[index].count == 0 {
                self.in_flight.remove(index);
            }
        }
    }

    fn find(&self, upstream: &Upstream) -> Result<usize, usize> {
        self.in_flight.binary_search_by(|entry| entry.upstream.cmp(upstream))
    }

    fn in_flight(&self, upstream: &Upstream) -> u32 {
        self.find(upstream).map_or(0, |index| self.in_flight[index].count)
    }

    /// The load of an upstream as the policy wants to know it.
    fn load(&self, entry: &Entry) -> u32 {
        match self.policy.knowledge() {
            Knowledge::Newest => self.in_flight(&entry.announcement.upstream),
            Knowledge::Reported => {
                entry.load.as_ref().map_or(0, |load| load.running + load.waiting)
            }
        }
    }

    fn grant(&mut self, upstream: &Upstream) -> Option<Permit> {
        let address = self.directory.registry().get(upstream)?.announcement.address;
        match self.find(upstream) {
            Ok(index) => self.in_flight[index].count += 1,
            Err(index) => {
                self.in_flight.insert(index, InFlight { upstream: upstream.clone(), count: 1 });
            }
        }
        Some(Permit { upstream: upstream.clone(), address })
    }

    fn tick(&mut self, cx: CX![]) {
        let actions = self.directory.tick(cx.now());
        self.perform(actions);
        after!(TICK, [cx], tick());
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => self.send(to, Transport::Tcp, &message),
                Action::SendQuickly(to, message) => self.send(to, Transport::Udp, &message),
                Action::Changed(upstream, Change::Altered) => {
                    log::debug!("upstream {upstream}: altered");
                }
                Action::Changed(upstream, change) => log::info!("upstream {upstream}: {change}"),
            }
        }
        let registry = self.directory.registry();
        let available = registry.iter().filter(|entry| entry.is_available()).count();
        self.metrics.upstreams.set(i64::try_from(available).unwrap_or(i64::MAX));
    }

    fn send(&self, addressee: Instance, transport: Transport, message: &Message) {
        if let Ok(payload) = encode(message) {
            let outgoing = Outgoing { addressee, slice: Slice::Upstream, transport, payload };
            call!([self.hub], send(outgoing));
        }
    }
}
