//! Handles announcements of upstreams and forwards them to followers.

use std::time::Duration;

use names::Instance;
use roster::{Announcement, MergeResult, Record, Status, short_hash};
use stakker::{CX, after};
use telemetry::Event;
use wire::Transport;

use super::leaves::Acknowledgement;
use super::message::Message;
use super::{CACHE_WRITE_DELAY, Feed, HEARD_REPORT_PERIOD};

/// Maximum number of upstreams in one report of live upstreams, so that the report fits in a
/// datagram.
const MAX_HEARD_UPSTREAMS: usize = 200;

impl Feed {
    /// Handles the announcement of an upstream. The announcement is acknowledged once it was sent
    /// to all followers, a report of draining once it is durable as well.
    pub(crate) fn announce(
        &mut self,
        cx: CX![],
        announcement: Announcement,
        acknowledgement: Acknowledgement,
    ) {
        let upstream = announcement.upstream.clone();
        let is_leave = announcement.standing != Status::Ready;
        let short_hash = short_hash(&upstream);
        let record = Record { announcement };
        match self.roster.merge(cx.now(), record.clone()) {
            MergeResult::Changed => {
                log_upstream(&record.announcement, "itself");
                self.record_heard(short_hash);
                self.publish(cx, vec![record], true);
            }
            MergeResult::Unchanged => self.record_heard(short_hash),
            MergeResult::Stale => {
                log::debug!("ignored an outdated announcement of upstream {upstream}");
            }
            MergeResult::Ended => {
                log::info!("ignored an announcement of upstream {upstream}, whose run has ended");
            }
        }
        match is_leave {
            true => {
                let leave = self.undurable_record(&upstream);
                self.acknowledge_leave(cx, leave, acknowledgement);
            }
            false => acknowledgement.accept(),
        }
    }

    fn record_heard(&mut self, upstream: u32) {
        if let Err(index) = self.heard_since_report.binary_search(&upstream) {
            self.heard_since_report.insert(index, upstream);
        }
    }

    /// Handles the report of a source about the upstreams that it hears from. Relays forward only
    /// the reports of control instances, so that no report is forwarded in a cycle.
    pub(super) fn receive_heard(&mut self, cx: CX![], sender: &Instance, heard: &[u32]) {
        let now = cx.now();
        self.roster.mark_heard(now, heard);
        self.last_report = Some(now);
        if self.tree.is_relay() && self.tree.is_control(sender) {
            heard.iter().for_each(|upstream| self.record_heard(*upstream));
        }
        self.schedule_list(cx);
    }

    /// Reports to followers which upstreams announced themselves. A control instance also sends an
    /// empty report, so that followers can tell the absence of announcements from the absence of
    /// reports. A relay reports only what a control instance reported.
    pub(super) fn report_heard(&mut self, cx: CX![]) {
        let heard = std::mem::take(&mut self.heard_since_report);
        if heard.is_empty() && self.is_control {
            self.send_to_followers(Transport::Udp, &Message::HeardUpstreams(Vec::new()));
        }
        if self.tree.forwards_updates() {
            for upstreams in heard.chunks(MAX_HEARD_UPSTREAMS) {
                self.send_to_followers(
                    Transport::Udp,
                    &Message::HeardUpstreams(upstreams.to_vec()),
                );
            }
        }
        after!(HEARD_REPORT_PERIOD, [cx], report_heard());
    }

    /// Handles records of another instance, and forwards those that are new.
    pub(super) fn receive_records(&mut self, cx: CX![], sender: &Instance, records: Vec<Record>) {
        let (mut new_records, mut ended) = (Vec::new(), Vec::new());
        for record in records {
            match self.roster.merge(cx.now(), record.clone()) {
                MergeResult::Changed => {
                    log_upstream(&record.announcement, sender.as_str());
                    new_records.push(record);
                }
                MergeResult::Ended => ended.push(record.announcement.upstream),
                MergeResult::Unchanged | MergeResult::Stale => {}
            }
        }
        self.send_departures(cx.now(), sender, &ended);
        let is_forwarded = self.tree.forwards_updates_of(sender);
        self.publish(cx, new_records, is_forwarded);
    }

    /// Schedules new records for the forwarder and the disk cache, and sends them to followers if
    /// `is_forwarded` is set. The flag is not set if followers get the records from other
    /// instances.
    pub(super) fn publish(&mut self, cx: CX![], new_records: Vec<Record>, is_forwarded: bool) {
        if new_records.is_empty() {
            return;
        }
        if new_records.iter().any(|record| record.announcement.standing != Status::Ready) {
            self.store_leaves(cx);
        }
        if is_forwarded {
            self.send_to_followers(Transport::Tcp, &Message::Records(new_records));
        }
        if self.disk_cache.is_some() && !self.is_write_scheduled {
            self.is_write_scheduled = true;
            after!(CACHE_WRITE_DELAY, [cx], write_records());
        }
        self.schedule_list(cx);
    }

    fn write_records(&mut self, _: CX![]) {
        self.is_write_scheduled = false;
        if let Some(disk_cache) = &self.disk_cache {
            disk_cache.write_records(self.roster.records());
        }
    }
}

pub(super) fn log_upstream(announcement: &Announcement, source: &str) {
    Event::Upstream {
        upstream: announcement.upstream.to_string(),
        service: announcement.service.to_string(),
        address: announcement.address.to_string(),
        standing: announcement.standing.to_string(),
        born: announcement.born,
        sequence: announcement.sequence,
        source: source.to_string(),
    }
    .write();
}
