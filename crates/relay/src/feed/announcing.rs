//! Announcements of upstreams, and how they are spread.

use std::time::{Duration, Instant};

use entry::Reply;
use names::{Instance, Upstream};
use roster::{Announcement, Record, Taken};
use stakker::{CX, Fwd, after};
use telemetry::Event;
use wire::Transport;

use super::message::Message;
use super::{Feed, HEARD_PERIOD};

/// Names in one message about announcements, so that it fits a datagram.
const HEARD_NAMES: usize = 40;

impl Feed {
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

    pub(super) fn heard(&mut self, upstream: Upstream) {
        if let Err(index) = self.heard.binary_search(&upstream) {
            self.heard.insert(index, upstream);
        }
    }

    pub(super) fn tell_heard(&mut self, cx: CX![]) {
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

    /// Learns records of another instance, and passes on what is new.
    pub(super) fn learn(&mut self, now: Instant, sender: &Instance, records: Vec<Record>) {
        let mut news = Vec::new();
        for record in records {
            if self.roster.take(now, record.clone()) == Taken::News {
                note(&record.announcement, sender.as_str());
                news.push(record);
            }
        }
        self.spread(news);
    }

    pub(super) fn spread(&mut self, news: Vec<Record>) {
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
