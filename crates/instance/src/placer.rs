//! The actor that knows the upstreams and gives permits to call them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use declare::Target;
use names::Upstream;
use operator::Response;
use placement::{Candidate, Policy, Rendezvous};
use serde_json::json;
use settings::Settings;
use stakker::{Actor, CX, Ret, after, call, ret};
use telemetry::Metrics;
use upstream::{Announcement, Change, Load, Registry};
use wire::{Delivery, Hub, Outgoing, Slice, Transport, decode, encode};

use crate::members::View;
use crate::operators::Ask;

/// How often lapsed announcements are looked for.
const EXPIRY_CHECK: Duration = Duration::from_millis(100);

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
    registry: Registry,
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
        after!(EXPIRY_CHECK, [cx], expire());
        Some(Self {
            settings,
            hub,
            metrics,
            registry: Registry::default(),
            policy: Box::new(Rendezvous),
            in_flight: Vec::new(),
        })
    }

    /// Takes an announcement that an upstream made to this instance.
    pub(crate) fn announce(&mut self, cx: CX![], ask: Ask) {
        match Announcement::try_from(ask.request.body.as_slice()) {
            Ok(announcement) => {
                self.forward(&announcement);
                let change = self.take(cx.now(), announcement);
                ask.answer(Response::json(200, &json!({ "change": change.to_string() })));
            }
            Err(error) => {
                ask.answer(Response::error(400, "invalid_announcement", error.to_string()));
            }
        }
    }

    /// Takes an upstream's load report.
    pub(crate) fn report(&mut self, _: CX![], ask: Ask) {
        let reported =
            Load::try_from(ask.request.body.as_slice()).and_then(|load| self.registry.report(load));
        match reported {
            Ok(()) => ask.answer(Response::json(200, &json!({}))),
            Err(error) => ask.answer(Response::error(400, "invalid_load", error.to_string())),
        }
    }

    /// Lists the known upstreams.
    pub(crate) fn list(&mut self, _: CX![], ask: Ask) {
        let upstreams: Vec<_> = self.registry.iter().map(|entry| &entry.announcement).collect();
        ask.answer(Response::json(200, &upstreams));
    }

    /// Takes a change of the members.
    pub(crate) fn set_view(&mut self, _: CX![], view: View) {
        log::debug!("{} other members", view.members.len());
    }

    /// Takes a message of a peer.
    pub(crate) fn deliver(&mut self, cx: CX![], delivery: Delivery) {
        match decode("announcement", &delivery.payload) {
            Ok(announcement) => {
                self.take(cx.now(), announcement);
            }
            Err(error) => log::warn!("instance {}: {error}", delivery.sender),
        }
    }

    /// Asks for a permit.
    pub(crate) fn place(&mut self, cx: CX![], wanted: Wanted, placed: Ret<Placed>) {
        let mut candidates: Vec<_> = self
            .registry
            .available(cx.now(), &wanted.target)
            .filter(|entry| !wanted.tried.contains(&entry.announcement.upstream))
            .map(|entry| Candidate {
                upstream: entry.announcement.upstream.clone(),
                slots: entry.announcement.slots,
                in_flight: self.in_flight(&entry.announcement.upstream),
            })
            .collect();
        if candidates.is_empty() {
            ret!([placed], Placed::NoUpstream);
            return;
        }
        self.policy.order(wanted.key, &mut candidates);
        let chosen = candidates.iter().find(|candidate| candidate.in_flight < candidate.slots);
        let permit = chosen.and_then(|candidate| self.grant(&candidate.upstream));
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

    fn grant(&mut self, upstream: &Upstream) -> Option<Permit> {
        let address = self.registry.get(upstream)?.announcement.address;
        match self.find(upstream) {
            Ok(index) => self.in_flight[index].count += 1,
            Err(index) => {
                self.in_flight.insert(index, InFlight { upstream: upstream.clone(), count: 1 });
            }
        }
        Some(Permit { upstream: upstream.clone(), address })
    }

    fn take(&mut self, now: Instant, announcement: Announcement) -> Change {
        let upstream = announcement.upstream.clone();
        let change = self.registry.announce(now, announcement);
        if matches!(change, Change::Joined | Change::Leaving) {
            log::info!("upstream {upstream}: {change}");
        }
        self.count(now);
        change
    }

    fn forward(&mut self, announcement: &Announcement) {
        let Ok(payload) = encode(announcement) else {
            return;
        };
        let peers = self.settings.peers.iter();
        for peer in peers.filter(|peer| peer.data_centre == self.settings.data_centre) {
            let outgoing = Outgoing {
                addressee: peer.instance.clone(),
                slice: Slice::Upstream,
                transport: Transport::Tcp,
                payload: payload.clone(),
            };
            call!([self.hub], send(outgoing));
        }
    }

    fn expire(&mut self, cx: CX![]) {
        for upstream in self.registry.expire(cx.now()) {
            log::info!("upstream {upstream}: lapsed");
        }
        self.count(cx.now());
        after!(EXPIRY_CHECK, [cx], expire());
    }

    fn count(&self, now: Instant) {
        let available = self.registry.iter().filter(|entry| entry.is_available(now)).count();
        self.metrics.upstreams.set(i64::try_from(available).unwrap_or(i64::MAX));
    }
}
