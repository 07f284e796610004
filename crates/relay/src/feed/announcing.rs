//! Announcements of upstreams, and how they are spread.

use std::time::Duration;

use entry::Reply;
use names::{Instance, Upstream};
use roster::{Announcement, Record, Taken, short_name};
use stakker::{CX, Fwd, after};
use telemetry::Event;
use wire::Transport;

use super::message::Message;
use super::{Feed, HEARD_PERIOD, KEEP_PAUSE};

/// Names in one message about announcements, so that it fits a datagram.
const HEARD_NAMES: usize = 200;

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
        let short = short_name(&announcement.upstream);
        let record = Record { announcement };
        match self.roster.take(cx.now(), record.clone()) {
            Taken::News => {
                note(&record.announcement, "itself");
                self.heard(short);
                self.spread(cx, vec![record], true);
            }
            Taken::Repeated => self.heard(short),
            Taken::Stale => {
                let upstream = &record.announcement.upstream;
                log::debug!("upstream {upstream}: a late announcement changes nothing");
            }
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
            self.spread(cx, vec![record], true);
        }
        reply.fwd(acknowledgement);
    }

    fn heard(&mut self, upstream: u32) {
        if let Err(index) = self.heard.binary_search(&upstream) {
            self.heard.insert(index, upstream);
        }
    }

    /// Takes the word of a source about whom it hears. Relays pass on what control instances say,
    /// and nothing else, so that no word goes round.
    pub(super) fn take_heard(&mut self, cx: CX![], sender: &Instance, heard: &[u32]) {
        let now = cx.now();
        self.roster.hear(now, heard);
        self.told = Some(now);
        if self.tree.is_relay() && self.tree.is_source(sender) {
            heard.iter().for_each(|upstream| self.heard(*upstream));
        }
        self.list_soon(cx);
    }

    /// Tells followers who was heard. They have to know that this instance would say if it heard
    /// someone, so it speaks also when it heard nobody; a relay only if a control instance spoke.
    pub(super) fn tell_heard(&mut self, cx: CX![]) {
        let heard = std::mem::take(&mut self.heard);
        if heard.is_empty() && self.is_control {
            self.tell_followers(Transport::Udp, &Message::Heard(Vec::new()));
        }
        if self.tree.passes_on() {
            for names in heard.chunks(HEARD_NAMES) {
                self.tell_followers(Transport::Udp, &Message::Heard(names.to_vec()));
            }
        }
        after!(HEARD_PERIOD, [cx], tell_heard());
    }

    /// Learns records of another instance, and passes on what is new.
    pub(super) fn learn(&mut self, cx: CX![], sender: &Instance, records: Vec<Record>) {
        let mut news = Vec::new();
        for record in records {
            if self.roster.take(cx.now(), record.clone()) == Taken::News {
                note(&record.announcement, sender.as_str());
                news.push(record);
            }
        }
        let spreads = self.tree.spreads(sender);
        self.spread(cx, news, spreads);
    }

    /// Notes what is new, and tells followers if they are not told by others.
    fn spread(&mut self, cx: CX![], news: Vec<Record>, tells: bool) {
        if news.is_empty() {
            return;
        }
        if tells {
            self.tell_followers(Transport::Tcp, &Message::Records(news));
        }
        if self.shelf.is_some() && !self.is_keeping {
            self.is_keeping = true;
            after!(KEEP_PAUSE, [cx], keep_records());
        }
        self.list_soon(cx);
    }

    fn keep_records(&mut self, _: CX![]) {
        self.is_keeping = false;
        if let Some(shelf) = &self.shelf {
            shelf.keep_records(self.roster.records());
        }
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
