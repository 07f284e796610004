//! What an instance knows of the newest revision, and how instances learn it of each other.
//!
//! Instances tell each other the number of their newest revision in a [`Message::Digest`]. Whoever
//! is behind pulls the changes that it lacks, or the whole content in parts when the other side
//! no longer has all of those changes or they are larger than the content.

use std::collections::VecDeque;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::{
    Digest, Document, Error, Mark, Message, Part, Pull, Revision, Revisions, Step, Wanted,
};

/// Most changed bytes in one message; also the length of a part of the whole content.
pub const CHUNK_BYTES: usize = 64 << 10;

/// Most revisions whose changes are kept for peers.
const KEPT_STEPS: usize = 256;

/// Most bytes of changes that are kept for peers.
const KEPT_BYTES: usize = 1 << 20;

/// Largest whole content that is taken from a peer.
const MAX_CONTENT_BYTES: usize = 64 << 20;

/// Digests of newer revisions that arrive without a further part until receiving starts anew.
const MAX_IDLE_DIGESTS: u32 = 4;

/// What follows from a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reaction {
    /// The sender gets an answer.
    Reply(Message),
    /// A newer revision is known, or it is known that none is committed.
    Advanced,
    /// The sender has other content under the same number.
    Diverged,
}

/// The whole content of a revision, as it is stored and sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Content {
    revision: Revision,
    mark: Mark,
    document: Document,
}

struct Encoded {
    revision: Revision,
    bytes: Vec<u8>,
}

#[derive(Default)]
struct Partial {
    revision: Revision,
    total: u64,
    bytes: Vec<u8>,
    idle_digests: u32,
}

/// The newest revision that an instance knows, with the steps that led to it.
pub struct View {
    revision: Revision,
    mark: Mark,
    document: Rc<Document>,
    steps: VecDeque<Step>,
    kept_bytes: usize,
    is_settled: bool,
    partial: Option<Partial>,
    encoded: Option<Encoded>,
}

impl Default for View {
    fn default() -> Self {
        let document = Document::default();
        Self {
            revision: Revision::default(),
            mark: document.mark(),
            document: Rc::new(document),
            steps: VecDeque::new(),
            kept_bytes: 0,
            is_settled: false,
            partial: None,
            encoded: None,
        }
    }
}

impl View {
    /// Reads a view from the bytes of [`View::to_bytes`].
    ///
    /// # Errors
    ///
    /// [`Error::Damaged`] when the bytes are not such a view or its content does not match.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, Error> {
        let content: Content = postcard::from_bytes(bytes)
            .map_err(|_| Error::Damaged { problem: "it is not of the expected form" })?;
        if content.document.mark() != content.mark {
            return Err(Error::Damaged { problem: "its content does not match its hash" });
        }
        let mut view = Self::default();
        view.replace(content);
        Ok(view)
    }

    /// The newest revision with its whole content as bytes.
    pub fn to_bytes(&self) -> Vec<u8> {
        let document = self.document.as_ref().clone();
        let content = Content { revision: self.revision, mark: self.mark, document };
        postcard::to_allocvec(&content).unwrap_or_default()
    }

    /// The newest known revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Its content.
    pub fn document(&self) -> &Rc<Document> {
        &self.document
    }

    /// Whether the instance knows a committed revision, or knows that there is none.
    pub fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// What peers are told.
    pub fn digest(&self) -> Digest {
        Digest { revision: self.revision, mark: self.mark, is_settled: self.is_settled }
    }

    /// Notes that the fleet's newest committed revision is `revision`; true when this settles it.
    pub fn settle(&mut self, revision: Revision) -> bool {
        let settles = !self.is_settled && self.revision >= revision;
        self.is_settled |= settles;
        settles
    }

    /// Catches up with the replicated log; true when it knew a newer revision.
    pub fn follow(&mut self, revisions: &Revisions) -> bool {
        if revisions.revision() <= self.revision {
            return false;
        }
        let steps = revisions.history().since(self.revision);
        let steps: Vec<Step> = steps.into_iter().flatten().map(Step::from).collect();
        let is_done = !steps.is_empty() && steps.into_iter().all(|step| self.take_step(step));
        if !is_done {
            let document = revisions.document().clone();
            let mark = document.mark();
            self.replace(Content { revision: revisions.revision(), mark, document });
        }
        true
    }

    /// Takes a message of a peer.
    pub fn take(&mut self, message: Message) -> Vec<Reaction> {
        match message {
            Message::Digest(digest) => self.take_digest(digest),
            Message::Pull(pull) => vec![Reaction::Reply(self.answer(pull))],
            Message::Steps { steps, newest } => self.take_steps(steps, newest),
            Message::Part(part) => self.take_part(part),
        }
    }

    fn pull(&self) -> Reaction {
        Reaction::Reply(Message::Pull(Pull { have: self.revision, part: None }))
    }

    /// Whether parts are arriving; gives up those that have stopped.
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

    fn take_digest(&mut self, digest: Digest) -> Vec<Reaction> {
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

    fn answer(&mut self, pull: Pull) -> Message {
        match pull.part {
            Some(wanted) => self.part(wanted),
            None => match self.steps_after(pull.have) {
                Some(steps) => Message::Steps { steps, newest: self.revision },
                None => self.part(Wanted { revision: self.revision, offset: 0 }),
            },
        }
    }

    /// The next steps after `revision` that fit one message; none when some of them are forgotten
    /// or the first is too large.
    fn steps_after(&self, revision: Revision) -> Option<Vec<Step>> {
        if revision >= self.revision {
            return Some(Vec::new());
        }
        let first = self.steps.front()?.revision;
        let skipped = usize::try_from(revision.next().0.checked_sub(first.0)?).ok()?;
        let mut steps = Vec::new();
        let mut bytes = 0;
        for step in self.steps.iter().skip(skipped) {
            bytes += step.length();
            if bytes > CHUNK_BYTES {
                break;
            }
            steps.push(step.clone());
        }
        (!steps.is_empty()).then_some(steps)
    }

    /// The wanted part, or the first part of the newest content when the wanted is gone.
    fn part(&mut self, wanted: Wanted) -> Message {
        let is_kept = self.encoded.as_ref().is_some_and(|one| one.revision == wanted.revision);
        let offset = if is_kept || wanted.revision == self.revision { wanted.offset } else { 0 };
        if !is_kept {
            self.encoded = Some(Encoded { revision: self.revision, bytes: self.to_bytes() });
        }
        let (revision, bytes) = match &self.encoded {
            Some(encoded) => (encoded.revision, encoded.bytes.as_slice()),
            None => (self.revision, [].as_slice()),
        };
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(bytes.len());
        let end = (start + CHUNK_BYTES).min(bytes.len());
        Message::Part(Part {
            revision,
            offset: start as u64,
            total: bytes.len() as u64,
            bytes: bytes[start..end].to_vec(),
        })
    }

    fn take_steps(&mut self, steps: Vec<Step>, newest: Revision) -> Vec<Reaction> {
        let before = self.revision;
        for step in steps {
            self.take_step(step);
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

    /// Takes a step that follows; false when it does not follow or does not fit.
    fn take_step(&mut self, step: Step) -> bool {
        if step.revision != self.revision.next() {
            return false;
        }
        let mut document = self.document.as_ref().clone();
        if !document.apply(&step.changes) || document.mark() != step.mark {
            return false;
        }
        self.document = Rc::new(document);
        self.revision = step.revision;
        self.mark = step.mark;
        self.is_settled = true;
        self.partial = None;
        self.keep(step);
        true
    }

    fn keep(&mut self, step: Step) {
        self.kept_bytes += step.length();
        self.steps.push_back(step);
        while self.steps.len() > KEPT_STEPS || self.kept_bytes > KEPT_BYTES {
            let Some(forgotten) = self.steps.pop_front() else {
                return;
            };
            self.kept_bytes -= forgotten.length();
        }
    }

    fn take_part(&mut self, part: Part) -> Vec<Reaction> {
        if part.revision <= self.revision || part.total > MAX_CONTENT_BYTES as u64 {
            return Vec::new();
        }
        let has_begun = self.partial.as_ref().is_some_and(|one| one.revision == part.revision);
        if part.offset == 0 && !has_begun {
            let (revision, total) = (part.revision, part.total);
            self.partial = Some(Partial { revision, total, ..Partial::default() });
        }
        let Some(partial) = self.partial.as_mut() else {
            return Vec::new();
        };
        let follows = partial.revision == part.revision
            && partial.total == part.total
            && partial.bytes.len() as u64 == part.offset
            && !part.bytes.is_empty();
        if !follows {
            return Vec::new();
        }
        partial.idle_digests = 0;
        partial.bytes.extend_from_slice(&part.bytes);
        let offset = partial.bytes.len() as u64;
        if offset >= partial.total {
            return self.finish_parts();
        }
        let wanted = Wanted { revision: part.revision, offset };
        let pull = Pull { have: self.revision, part: Some(wanted) };
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
        self.steps.clear();
        self.kept_bytes = 0;
        self.is_settled = self.revision > Revision::default();
        self.partial = None;
        self.encoded = None;
    }
}
