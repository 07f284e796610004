//! The copy of the newest revision on an instance, and the gossip protocol that updates the copy.
//!
//! Instances send each other the number of their newest revision in a [`Message::Digest`]. An
//! instance with an older revision pulls the missing changes. If the peer no longer has all of
//! these changes, or if the next change is too large for one message, the peer sends the complete
//! content in parts.

use std::collections::VecDeque;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::{
    Delta, Digest, Document, Error, Mark, Message, Part, PartRequest, Pull, Revision, Revisions,
};

/// Maximum size of the changes in one message, and the length of a part of the complete content, in
/// bytes.
pub const MAX_CHUNK_BYTES: usize = 64 << 10;

/// Maximum number of revisions whose changes are kept for peers.
const MAX_KEPT_DELTAS: usize = 256;

/// Maximum size of the changes that are kept for peers, in bytes.
const MAX_KEPT_BYTES: usize = 1 << 20;

/// Maximum size of the complete content that is accepted from a peer, in bytes.
const MAX_CONTENT_BYTES: usize = 64 << 20;

/// Number of digests of newer revisions without a new part after which a transfer is restarted.
const MAX_IDLE_DIGESTS: u32 = 4;

/// Result of a received message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reaction {
    /// The message is sent to the sender as a reply.
    Reply(Message),
    /// The view has a newer revision, or was settled by the message.
    Advanced,
    /// The sender has different content for the same revision number.
    Diverged,
}

/// The complete content of a revision, in the form that is stored and sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Content {
    revision: Revision,
    mark: Mark,
    document: Document,
}

/// Encoded content, cached while peers fetch its parts.
struct EncodedContent {
    revision: Revision,
    bytes: Vec<u8>,
}

/// Content whose parts are being received.
#[derive(Default)]
struct PartialContent {
    revision: Revision,
    /// Length of the complete content, in bytes.
    total: u64,
    bytes: Vec<u8>,
    /// Number of digests of newer revisions since the last part.
    idle_digests: u32,
}

/// Copy of the newest revision on an instance, with the most recent changes.
pub struct View {
    revision: Revision,
    mark: Mark,
    document: Rc<Document>,
    /// Changes of the most recent revisions, oldest first.
    deltas: VecDeque<Delta>,
    /// Size of `deltas`, in bytes.
    kept_bytes: usize,
    is_settled: bool,
    partial: Option<PartialContent>,
    encoded: Option<EncodedContent>,
}

impl Default for View {
    fn default() -> Self {
        let document = Document::default();
        Self {
            revision: Revision::default(),
            mark: document.mark(),
            document: Rc::new(document),
            deltas: VecDeque::new(),
            kept_bytes: 0,
            is_settled: false,
            partial: None,
            encoded: None,
        }
    }
}

impl View {
    /// Decodes a view from the bytes of [`View::to_bytes`].
    ///
    /// # Errors
    ///
    /// [`Error::CorruptRevision`] if the bytes cannot be decoded or the content does not match its
    /// hash.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, Error> {
        let content: Content = postcard::from_bytes(bytes)
            .map_err(|_| Error::CorruptRevision { problem: "it is not of the expected form" })?;
        if content.document.mark() != content.mark {
            return Err(Error::CorruptRevision { problem: "its content does not match its hash" });
        }
        let mut view = Self::default();
        view.replace(content);
        Ok(view)
    }

    /// Encodes the newest revision with its complete content.
    pub fn to_bytes(&self) -> Vec<u8> {
        let document = self.document.as_ref().clone();
        let content = Content { revision: self.revision, mark: self.mark, document };
        postcard::to_allocvec(&content).unwrap_or_default()
    }

    /// Returns the number of the newest known revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the content of the newest known revision.
    pub fn document(&self) -> &Rc<Document> {
        &self.document
    }

    /// Whether the instance knows a committed revision, or knows that there is none.
    pub fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// Returns the digest for peers.
    pub fn digest(&self) -> Digest {
        Digest { revision: self.revision, mark: self.mark, is_settled: self.is_settled }
    }

    /// Records that the newest committed revision of the fleet is `revision`.
    ///
    /// This settles the view if the view has this revision or a newer one. Returns true if the view
    /// was not settled before and is settled now.
    pub fn settle(&mut self, revision: Revision) -> bool {
        let settles = !self.is_settled && self.revision >= revision;
        self.is_settled |= settles;
        settles
    }

    /// Updates the view from the replicated log. Returns true if the log had a newer revision.
    pub fn follow(&mut self, revisions: &Revisions) -> bool {
        if revisions.revision() <= self.revision {
            return false;
        }
        let deltas = revisions.history().since(self.revision);
        let deltas: Vec<Delta> = deltas.into_iter().flatten().map(Delta::from).collect();
        let is_up_to_date =
            !deltas.is_empty() && deltas.into_iter().all(|delta| self.apply_delta(delta));
        if !is_up_to_date {
            let document = revisions.document().clone();
            let mark = document.mark();
            self.replace(Content { revision: revisions.revision(), mark, document });
        }
        true
    }

    /// Handles a message from a peer.
    pub fn take(&mut self, message: Message) -> Vec<Reaction> {
        match message {
            Message::Digest(digest) => self.handle_digest(digest),
            Message::Pull(pull) => vec![Reaction::Reply(self.answer_pull(pull))],
            Message::Deltas { deltas, newest } => self.handle_deltas(deltas, newest),
            Message::Part(part) => self.handle_part(part),
        }
    }

    fn pull(&self) -> Reaction {
        Reaction::Reply(Message::Pull(Pull { have: self.revision, part: None }))
    }

    /// Whether parts are being received. Drops the received parts of a stalled transfer.
    fn is_receiving(&mut self) -> bool {
        let Some(partial) = self.partial.as_mut() else {
            return false;
        };
        partial.idle_digests += 1;
        let is_receiving = partial.idle_digests < MAX_IDLE_DIGESTS;
        if !is_receiving {
            self.partial = None;
        }
        is_receiving
    }

    fn handle_digest(&mut self, digest: Digest) -> Vec<Reaction> {
        if digest.revision > self.revision {
            return if self.is_receiving() { Vec::new() } else { vec![self.pull()] };
        }
        if digest.revision < self.revision || (self.is_settled && !digest.is_settled) {
            return vec![Reaction::Reply(Message::Digest(self.digest()))];
        }
        if digest.mark != self.mark {
            return vec![Reaction::Diverged];
        }
        if digest.is_settled && self.settle(digest.revision) {
            return vec![Reaction::Advanced];
        }
        Vec::new()
    }

    fn answer_pull(&mut self, pull: Pull) -> Message {
        match pull.part {
            Some(requested) => self.part(requested),
            None => match self.deltas_after(pull.have) {
                Some(deltas) => Message::Deltas { deltas, newest: self.revision },
                None => self.part(PartRequest { revision: self.revision, offset: 0 }),
            },
        }
    }

    /// Returns the next deltas after `revision` that fit into one message.
    ///
    /// Returns `None` if some of the deltas were dropped or if the first delta is too large.
    fn deltas_after(&self, revision: Revision) -> Option<Vec<Delta>> {
        if revision >= self.revision {
            return Some(Vec::new());
        }
        let first = self.deltas.front()?.revision;
        let skipped = usize::try_from(revision.next().0.checked_sub(first.0)?).ok()?;
        let mut deltas = Vec::new();
        let mut bytes = 0;
        for delta in self.deltas.iter().skip(skipped) {
            bytes += delta.text_bytes();
            if bytes > MAX_CHUNK_BYTES {
                break;
            }
            deltas.push(delta.clone());
        }
        (!deltas.is_empty()).then_some(deltas)
    }

    /// Returns the requested part, or the first part of the newest content if the requested
    /// revision is no longer available.
    fn part(&mut self, requested: PartRequest) -> Message {
        let is_cached =
            self.encoded.as_ref().is_some_and(|encoded| encoded.revision == requested.revision);
        let offset =
            if is_cached || requested.revision == self.revision { requested.offset } else { 0 };
        if !is_cached {
            self.encoded = Some(EncodedContent { revision: self.revision, bytes: self.to_bytes() });
        }
        let (revision, bytes) = match &self.encoded {
            Some(encoded) => (encoded.revision, encoded.bytes.as_slice()),
            None => (self.revision, [].as_slice()),
        };
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(bytes.len());
        let end = (start + MAX_CHUNK_BYTES).min(bytes.len());
        Message::Part(Part {
            revision,
            offset: start as u64,
            total: bytes.len() as u64,
            bytes: bytes[start..end].to_vec(),
        })
    }

    fn handle_deltas(&mut self, deltas: Vec<Delta>, newest: Revision) -> Vec<Reaction> {
        let before = self.revision;
        for delta in deltas {
            self.apply_delta(delta);
        }
        let mut reactions = Vec::new();
        if self.revision > before {
            reactions.push(Reaction::Advanced);
            if newest > self.revision {
                reactions.push(self.pull());
            }
        }
        reactions
    }

    /// Applies the delta of the next revision.
    ///
    /// Returns false and leaves the view unchanged if the delta is not the next one or does not
    /// match the content.
    fn apply_delta(&mut self, delta: Delta) -> bool {
        if delta.revision != self.revision.next() {
            return false;
        }
        let mut document = self.document.as_ref().clone();
        if !document.apply(&delta.changes) || document.mark() != delta.mark {
            return false;
        }
        self.document = Rc::new(document);
        self.revision = delta.revision;
        self.mark = delta.mark;
        self.is_settled = true;
        self.partial = None;
        self.keep_delta(delta);
        true
    }

    fn keep_delta(&mut self, delta: Delta) {
        self.kept_bytes += delta.text_bytes();
        self.deltas.push_back(delta);
        while self.deltas.len() > MAX_KEPT_DELTAS || self.kept_bytes > MAX_KEPT_BYTES {
            let Some(dropped) = self.deltas.pop_front() else {
                return;
            };
            self.kept_bytes -= dropped.text_bytes();
        }
    }

    fn handle_part(&mut self, part: Part) -> Vec<Reaction> {
        if part.revision <= self.revision || part.total > MAX_CONTENT_BYTES as u64 {
            return Vec::new();
        }
        let has_begun =
            self.partial.as_ref().is_some_and(|partial| partial.revision == part.revision);
        if part.offset == 0 && !has_begun {
            let (revision, total) = (part.revision, part.total);
            self.partial = Some(PartialContent { revision, total, ..PartialContent::default() });
        }
        let Some(partial) = self.partial.as_mut() else {
            return Vec::new();
        };
        let is_next = partial.revision == part.revision
            && partial.total == part.total
            && partial.bytes.len() as u64 == part.offset
            && !part.bytes.is_empty();
        if !is_next {
            return Vec::new();
        }
        partial.idle_digests = 0;
        partial.bytes.extend_from_slice(&part.bytes);
        let offset = partial.bytes.len() as u64;
        if offset >= partial.total {
            return self.finish_parts();
        }
        let requested = PartRequest { revision: part.revision, offset };
        let pull = Pull { have: self.revision, part: Some(requested) };
        vec![Reaction::Reply(Message::Pull(pull))]
    }

    fn finish_parts(&mut self) -> Vec<Reaction> {
        let Some(partial) = self.partial.take() else {
            return Vec::new();
        };
        match Self::from_bytes(&partial.bytes) {
            Ok(view) if view.revision > self.revision => {
                *self = view;
                vec![Reaction::Advanced]
            }
            _ => Vec::new(),
        }
    }

    fn replace(&mut self, content: Content) {
        self.revision = content.revision;
        self.mark = content.mark;
        self.document = Rc::new(content.document);
        self.deltas.clear();
        self.kept_bytes = 0;
        self.is_settled = self.revision > Revision::default();
        self.partial = None;
        self.encoded = None;
    }
}
