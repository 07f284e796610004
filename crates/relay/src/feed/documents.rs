//! Activates the newest document and distributes it.

use std::rc::Rc;
use std::time::Duration;

use catalogue::{Catalogue, Change, Document, Giving, Number, Outcome, heirs, turn};
use names::Instance;
use stakker::{CX, at};
use state::Index;
use telemetry::Event;
use wire::Transport;

use super::Feed;
use super::message::Message;

/// Time to wait for a requested document before another instance is asked.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);

impl Feed {
    /// Announces the committed document to followers after the log has changed it.
    pub(crate) fn handle_applied(&mut self, cx: CX![], _: Index) {
        if self.activate_newest(cx, "log") {
            self.send_to_followers(Transport::Udp, &Message::HasDocument(self.document_number()));
        }
    }

    /// Activates the newest document. Returns false if it is active already.
    pub(super) fn activate_newest(&mut self, cx: CX![], source: &str) -> bool {
        let number = self.document_number();
        if number <= self.active_number {
            return false;
        }
        self.store_document(cx);
        let text = self.newest.borrow().document().text();
        let parsed = text.ok_or_else(|| "the document cannot be decompressed".to_string());
        let parsed = parsed.and_then(|text| self.documents.parse(&text));
        let parsed =
            parsed.and_then(|draft| Catalogue::try_from(draft).map_err(|error| error.to_string()));
        match parsed {
            Ok(catalogue) => {
                let (number, before) = (number.0, self.active_number.0);
                let source = source.to_string();
                Event::Catalogue { number, before, source }.write();
                let number = Number(number);
                self.active_number = number;
                self.listeners.catalogue.fwd(Rc::new(catalogue));
            }
            Err(problem) => log::error!(
                "cannot use catalogue {number}: {problem}; keeping the active catalogue"
            ),
        }
        true
    }

    /// Handles the notice that `sender` has the document `number`. The entry instances of a data
    /// centre take turns at requesting it from control instances, whose links are narrow, and
    /// request it from each other immediately. In a large fleet only a few entry instances get the
    /// notice from control instances.
    pub(super) fn receive_document_number(&mut self, cx: CX![], sender: Instance, number: Number) {
        if number <= self.document_number() {
            return;
        }
        let now = cx.now();
        let is_first = !self.missing_document.is_known();
        let fetchers = self.tree.document_fetchers();
        let fetchers = fetchers.as_deref().unwrap_or(&self.neighbours);
        let due = self.missing_document.note(now) + turn(&self.me, fetchers, number);
        if self.is_control || self.neighbours.contains(&sender) || due <= now {
            self.fetch_if_newer(cx, sender, number);
        } else if is_first {
            at!(due, [cx], fetch_delayed(sender, number));
        }
    }

    /// Requests a document after a delay, unless the document has arrived in the meantime.
    pub(super) fn fetch_delayed(&mut self, cx: CX![], sender: Instance, number: Number) {
        self.fetch_if_newer(cx, sender, number);
    }

    /// Sends the changes since the document `number` to an instance that has this document. If the
    /// changes are not known, the newest document is sent instead, slowly enough that the link
    /// still has capacity for the log.
    pub(super) fn send_update(&mut self, cx: CX![], sender: Instance, number: Number) {
        let changes = self.newest.borrow().changes_from(number).map(<[_]>::to_vec);
        if let Some(changes) = changes {
            self.send(sender, Transport::Tcp, &Message::Changes(changes));
            return;
        }
        let is_control = self.tree.is_control(&sender);
        self.outflow.ask(sender, is_control);
        self.send_next_document(cx);
    }

    /// Sends the newest document to the instances that requested it, as far as the link has
    /// capacity.
    fn send_next_document(&mut self, cx: CX![]) {
        let document = self.newest.borrow().document().clone();
        loop {
            match self.outflow.next(cx.now(), document.size()) {
                Giving::Send(instance) => {
                    self.send(instance, Transport::Tcp, &Message::Document(document.clone()));
                }
                Giving::Wait(until) => {
                    cx.timer_del(self.send_timer);
                    self.send_timer = at!(until, [cx], send_next_document());
                    return;
                }
                Giving::Done => return,
            }
        }
    }

    /// Requests the newest document from `sender` if `number`, the document of `sender`, is newer
    /// than the document at this instance. While another request is pending, a request to a
    /// neighbour is postponed rather than dropped, because a neighbour announces a document only
    /// once.
    pub(super) fn fetch_if_newer(&mut self, cx: CX![], sender: Instance, number: Number) {
        if number <= self.document_number() {
            return;
        }
        let pending_until = self.fetch_started.map(|at| at + FETCH_TIMEOUT);
        match pending_until.filter(|until| cx.now() < *until) {
            Some(until) if self.neighbours.contains(&sender) => {
                at!(until, [cx], fetch_delayed(sender, number));
            }
            Some(_) => {}
            None => {
                self.fetch_started = Some(cx.now());
                self.send(sender, Transport::Tcp, &Message::FetchDocument(self.document_number()));
            }
        }
    }

    pub(super) fn receive_document(&mut self, cx: CX![], sender: &Instance, document: Document) {
        if self.newest.borrow_mut().adopt(document) {
            self.activate_and_forward(cx, sender);
        }
        self.end_fetch();
    }

    /// Applies changes to the document at this instance, and requests the whole newest document if
    /// they do not apply.
    pub(super) fn apply_changes(&mut self, cx: CX![], sender: &Instance, changes: &[Change]) {
        let before = self.document_number();
        for change in changes {
            let outcome = self.newest.borrow_mut().amend(change);
            if matches!(outcome, Outcome::Missed(_)) {
                self.fetch_started = Some(cx.now());
                self.send(
                    sender.clone(),
                    Transport::Tcp,
                    &Message::FetchDocument(Number::default()),
                );
                break;
            }
        }
        if self.document_number() > before {
            self.activate_and_forward(cx, sender);
        }
        if changes.last().is_some_and(|last| last.number <= self.document_number()) {
            self.end_fetch();
        }
    }

    fn end_fetch(&mut self) {
        self.fetch_started = None;
        self.missing_document.end();
    }

    /// Activates the document that came from `sender`, and announces it to the instances that
    /// receive it from this one.
    fn activate_and_forward(&mut self, cx: CX![], sender: &Instance) {
        self.activate_newest(cx, sender.as_str());
        let notice = Message::HasDocument(self.document_number());
        if self.is_control {
            self.send_to_followers(Transport::Udp, &notice);
            return;
        }
        let is_from_outside = !self.neighbours.contains(sender);
        let recipients = match (self.is_large_fleet, is_from_outside) {
            (true, _) => heirs(&self.me, &self.neighbours, self.document_number(), is_from_outside),
            (false, true) => self.neighbours.clone(),
            (false, false) => Vec::new(),
        };
        for neighbour in recipients {
            self.send(neighbour, Transport::Udp, &notice);
        }
    }
}
