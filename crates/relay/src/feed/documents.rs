//! How the newest document comes into force and is spread.

use std::rc::Rc;
use std::time::{Duration, Instant};

use catalogue::{Catalogue, Document, Number};
use names::Instance;
use stakker::{CX, after};
use state::Index;
use telemetry::Event;
use wire::Transport;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Feed;
use super::message::Message;

/// How long an answer to a request for the document may take before another instance is asked.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);

/// Entry instances of a data centre that ask control instances for a new document.
const OPENERS: usize = 2;

/// How long the others wait for these, a small part of the time in which a document has to be in
/// force everywhere.
const OPENER_TIME: Duration = Duration::from_millis(500);

impl Feed {
    /// Tells followers of the committed document, after the log has changed it.
    pub(crate) fn note_applied(&mut self, _: CX![], _: Index) {
        if self.take_newest("log") {
            self.tell_followers(Transport::Udp, &Message::Standing(self.number()));
        }
    }

    /// Puts the newest document in force; false when it is in force already.
    pub(super) fn take_newest(&mut self, source: &str) -> bool {
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

    /// Hears that an instance has a document. Of the entry instances of a data centre a few ask a
    /// control instance for it, whose link is narrow; the others wait for these.
    pub(super) fn hear_standing(&mut self, cx: CX![], sender: Instance, number: Number) {
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
    pub(super) fn hear_late(&mut self, cx: CX![], sender: Instance, number: Number) {
        self.compare(cx.now(), sender, number);
    }

    /// Whether this instance is among those of its data centre that ask control instances first
    /// for the document `number`.
    pub(super) fn is_opener(&self, number: Number) -> bool {
        let weight = |one: &Instance| xxh3_64_with_seed(one.as_str().as_bytes(), number.0);
        let own = weight(&self.me);
        self.neighbours.iter().filter(|one| weight(one) > own).count() < OPENERS
    }

    /// Asks for the document of an instance that has a newer one.
    pub(super) fn compare(&mut self, now: Instant, sender: Instance, number: Number) {
        let is_asked = self.fetched_at.is_some_and(|at| now < at + FETCH_TIMEOUT);
        if number > self.number() && !is_asked {
            self.fetched_at = Some(now);
            self.send(sender, Transport::Tcp, &Message::Fetch);
        }
    }

    pub(super) fn adopt(&mut self, sender: &Instance, document: Document) {
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
}
