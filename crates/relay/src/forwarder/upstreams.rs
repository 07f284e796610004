//! The upstreams as the forwarder sees them: what they hold, and which fail.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use dispatch::Health;
use forward::{Candidate, Gauge, Report};
use names::{DataCentre, Service, Upstream};
use roster::{Announcement, Standing};

use crate::feed::{Known, Listing};

/// Announcements that an upstream may miss before requests avoid it.
const MISSED_ANNOUNCEMENTS: u32 = 3;

/// How late an announcement may be passed on.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(1500);

/// How recent the last word of a control instance must be for silence to mean something.
const TOLD_SPAN: Duration = Duration::from_millis(2500);

struct Entry {
    announcement: Announcement,
    heard: Instant,
    gauge: Gauge,
    /// Another upstream answered at its address.
    is_replaced: bool,
}

/// All upstreams, sorted by name.
pub(super) struct Table {
    data_centre: DataCentre,
    /// How long an upstream may be silent.
    silence: Duration,
    entries: Vec<Entry>,
    told: Option<Instant>,
    health: Health,
}

/// Where an upstream is called.
pub(super) struct Place {
    pub(super) upstream: Upstream,
    pub(super) address: SocketAddr,
}

impl Table {
    pub(super) fn new(data_centre: DataCentre, announce_period: Duration) -> Self {
        let silence = announce_period * MISSED_ANNOUNCEMENTS + ANNOUNCEMENT_DELAY;
        let health = Health::default();
        Self { data_centre, silence, entries: Vec::new(), told: None, health }
    }

    /// Takes the upstreams that did not leave; gives the addresses that nobody is at any more.
    pub(super) fn update(&mut self, listing: &Listing) -> Vec<SocketAddr> {
        self.told = listing.told;
        let mut old = std::mem::take(&mut self.entries);
        for Known { announcement, heard } in &listing.upstreams {
            let same = old.iter().position(|entry| {
                entry.announcement.upstream == announcement.upstream
                    && entry.announcement.born == announcement.born
            });
            let entry = match same.map(|index| old.swap_remove(index)) {
                Some(entry) => {
                    let is_replaced = entry.is_replaced && entry.announcement == *announcement;
                    Entry {
                        announcement: announcement.clone(),
                        heard: *heard,
                        is_replaced,
                        ..entry
                    }
                }
                None => Entry {
                    announcement: announcement.clone(),
                    heard: *heard,
                    gauge: Gauge::default(),
                    is_replaced: false,
                },
            };
            self.entries.push(entry);
        }
        let is_used = |address: &SocketAddr| {
            self.entries.iter().any(|entry| entry.announcement.address == *address)
        };
        old.iter().map(|entry| entry.announcement.address).filter(|one| !is_used(one)).collect()
    }

    /// How many upstreams may get new work.
    pub(super) fn ready(&self) -> usize {
        self.entries.iter().filter(|entry| entry.is_ready()).count()
    }

    /// The upstreams of `service` that may get new work, those in `tried` left out unless there
    /// are no others.
    pub(super) fn candidates(
        &mut self,
        now: Instant,
        service: &Service,
        tried: &[Upstream],
        sharers: u32,
    ) -> Vec<Candidate> {
        let avoided = self.health.avoided(service, now);
        let is_told = self.told.is_some_and(|told| now < told + TOLD_SPAN);
        let of_service = |entry: &&Entry| entry.announcement.service == *service;
        let ready = self.entries.iter().filter(of_service).filter(|entry| entry.is_ready());
        let all = ready.map(|entry| {
            let announcement = &entry.announcement;
            let is_silent = is_told && now > entry.heard + self.silence;
            Candidate {
                upstream: announcement.upstream.clone(),
                is_near: announcement.data_centre == self.data_centre,
                load: entry.gauge.load(now, sharers),
                slots: announcement.slots,
                backlog: entry.gauge.backlog(),
                is_avoided: is_silent || avoided.contains(&announcement.upstream),
            }
        });
        let all: Vec<Candidate> = all.collect();
        let untried = all.iter().filter(|one| !tried.contains(&one.upstream)).cloned();
        let untried: Vec<Candidate> = untried.collect();
        if untried.is_empty() { all } else { untried }
    }

    fn entry(&mut self, upstream: &Upstream) -> Option<&mut Entry> {
        self.entries.iter_mut().find(|one| one.announcement.upstream == *upstream)
    }

    /// Notes a request that is sent with `tokens` to be read; gives where to.
    pub(super) fn begin(&mut self, upstream: &Upstream, tokens: f64) -> Option<Place> {
        let entry = self.entry(upstream)?;
        entry.gauge.begin(tokens);
        Some(Place { upstream: upstream.clone(), address: entry.announcement.address })
    }

    /// Notes that `tokens` of a request were read or are no more needed.
    pub(super) fn read(&mut self, upstream: &Upstream, tokens: f64) {
        if let Some(entry) = self.entry(upstream) {
            entry.gauge.read(tokens);
        }
    }

    /// Notes that a request ended at `upstream`.
    pub(super) fn end(&mut self, upstream: &Upstream) {
        if let Some(entry) = self.entry(upstream) {
            entry.gauge.end();
        }
    }

    /// Takes what `upstream` says of its load.
    pub(super) fn report(&mut self, now: Instant, upstream: &Upstream, report: Report) {
        if let Some(entry) = self.entry(upstream) {
            entry.gauge.report(now, report);
        }
    }

    /// Notes that another upstream answered in place of this one.
    pub(super) fn replaced(&mut self, upstream: &Upstream) {
        log::info!("upstream {upstream}: another one answered at its address");
        if let Some(entry) = self.entry(upstream) {
            entry.is_replaced = true;
        }
    }

    /// Notes an answer.
    pub(super) fn succeeded(&mut self, service: &Service, upstream: &Upstream) {
        self.health.succeeded(service, upstream);
    }

    /// Notes a failure; one that says that nobody is there counts at once.
    pub(super) fn failed(
        &mut self,
        now: Instant,
        service: &Service,
        upstream: &Upstream,
        is_lost: bool,
    ) {
        let finding = match is_lost {
            true => self.health.lost(service, upstream, now),
            false => self.health.failed(service, upstream, now),
        };
        if finding == dispatch::Finding::Avoided {
            log::info!("upstream {upstream} of service {service} is avoided for a while");
        }
    }

    /// Notes how long one unit of an answer took.
    pub(super) fn paced(
        &mut self,
        now: Instant,
        service: &Service,
        upstream: &Upstream,
        pace: Duration,
    ) {
        if self.health.paced(service, upstream, pace, now) == dispatch::Finding::Avoided {
            let millis = pace.as_millis();
            log::info!("upstream {upstream} of service {service} is slow ({millis} ms), avoided");
        }
    }
}

impl Entry {
    fn is_ready(&self) -> bool {
        self.announcement.standing == Standing::Ready && !self.is_replaced
    }
}
