//! Distributes leaves that do not tell which announced run ends.
//!
//! New departures are sent to followers at once. A control instance that starts, or that was cut off,
//! asks the others. An instance that sends a record of a run that has ended gets the departure in
//! return. Entry instances do not ask: control instances that have a departure send them no record of
//! the runs that it ends.

use std::time::Instant;

use names::{Instance, Upstream};
use roster::departure::{Departure, Report};
use roster::{DepartResult, Record};
use stakker::CX;
use telemetry::Event;
use wire::Transport;

use super::Feed;
use super::announcements::log_upstream;
use super::message::Message;

impl Feed {
    /// Asks the control instances `sources` for their departures, until they answer.
    pub(super) fn want_departures(&mut self, sources: Vec<Instance>) {
        if !self.is_control {
            return;
        }
        self.unheard_sources.extend(sources);
        self.unheard_sources.retain(|source| self.followed.contains(source));
        self.unheard_sources.sort();
        self.unheard_sources.dedup();
        for source in &self.unheard_sources {
            self.send(source.clone(), Transport::Tcp, &Message::WantDepartures);
        }
    }

    /// Sends the departures of `upstreams`, which `addressee` still has in use.
    pub(super) fn send_departures(
        &self,
        now: Instant,
        addressee: &Instance,
        upstreams: &[Upstream],
    ) {
        if upstreams.is_empty() {
            return;
        }
        let mut reports = self.roster.departures(now);
        reports.retain(|report| upstreams.contains(&report.departure.upstream));
        self.send(addressee.clone(), Transport::Tcp, &Message::Departures(reports));
    }

    /// Adds departures of another instance, and forwards those that are new.
    pub(super) fn receive_departures(
        &mut self,
        cx: CX![],
        sender: &Instance,
        reports: Vec<Report>,
    ) {
        self.unheard_sources.retain(|source| source != sender);
        let now = cx.now();
        let is_forwarded = self.tree.forwards_updates_of(sender);
        let departures = reports.into_iter().map(|report| (report.left_at(now), report.departure));
        self.add_departures(cx, departures.collect(), sender.as_str(), is_forwarded);
    }

    /// Adds departures with the times of their leaves. Returns whether there was room for all.
    pub(super) fn add_departures(
        &mut self,
        cx: CX![],
        departures: Vec<(Instant, Departure)>,
        source: &str,
        is_forwarded: bool,
    ) -> bool {
        let now = cx.now();
        let (mut is_complete, mut new, mut ended) = (true, Vec::new(), Vec::new());
        for (left_at, departure) in departures {
            match self.roster.depart(now, left_at, departure.clone()) {
                DepartResult::Changed(record) => {
                    log_departure(&departure, source);
                    new.push(Report::new(now, left_at, departure));
                    ended.extend(record);
                }
                DepartResult::Unchanged => {}
                DepartResult::Full => is_complete = false,
            }
        }
        if !new.is_empty() {
            self.publish_departures(cx, new, ended, source, is_forwarded);
        }
        is_complete
    }

    /// Stores new departures and the records of the runs that they end, and sends them to followers.
    fn publish_departures(
        &mut self,
        cx: CX![],
        new: Vec<Report>,
        ended: Vec<Record>,
        source: &str,
        is_forwarded: bool,
    ) {
        let count = self.roster.departure_count();
        self.metrics.relay.departures.set(i64::try_from(count).unwrap_or(i64::MAX));
        if is_forwarded {
            self.send_to_followers(Transport::Tcp, &Message::Departures(new));
        }
        match ended.is_empty() {
            true => self.store_leaves(cx),
            false => {
                ended.iter().for_each(|record| log_upstream(&record.announcement, source));
                self.publish(cx, ended, is_forwarded);
            }
        }
    }
}

fn log_departure(departure: &Departure, source: &str) {
    Event::Departure {
        upstream: departure.upstream.to_string(),
        through: departure.through,
        before: departure.before,
        source: source.to_string(),
    }
    .write();
}
