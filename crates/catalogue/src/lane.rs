//! Documents that operators read over the narrow link of a control instance.

use std::time::{Duration, Instant};

use names::{Instance, Request};

/// Share of the link that documents for operators may take; votes and heartbeats of the log go
/// between their slices.
const LINK_SHARE: f64 = 0.9;

/// Time that a slice takes; what the log sends meanwhile is late by as much.
const SLICE_SPAN: Duration = Duration::from_millis(20);

/// For how long the link's share may lie unused and still be made up for, after a busy loop.
const MAX_BEHIND: Duration = Duration::from_millis(100);

/// Until when an answer has to be whole. Whoever asks turns to another instance after a second.
const PATIENCE: Duration = Duration::from_millis(950);

/// How often whoever asks may be sent elsewhere; operators follow two redirections.
const MAX_HOPS: u32 = 2;

/// What becomes of a question for the document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Course {
    /// It is answered here.
    Here,
    /// That instance is asked instead.
    Elsewhere(Instance),
    /// It is refused until the link has room, in that time.
    Later(Duration),
}

/// The next bytes of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slice {
    /// The question that is answered.
    pub request: Request,
    /// How many bytes go out now.
    pub bytes: usize,
    /// Whether the answer is whole with these.
    pub is_last: bool,
}

struct Waiting {
    request: Request,
    left: usize,
}

/// Answers on their way, one after the other, as fast as the link carries them.
///
/// Two documents side by side would both take twice as long, and neither come in time.
pub struct Lane {
    bytes_per_second: f64,
    answers: Vec<Waiting>,
    /// Up to when the link's share is used.
    used_until: Option<Instant>,
    /// Who was named to an operator, and until when that instance is taken to be busy by it.
    named: Vec<(Instance, Instant)>,
}

impl Lane {
    /// Answers over a link of so many megabits a second.
    pub fn new(link_megabits: f64) -> Self {
        let bytes_per_second = link_megabits * 1e6 / 8.0 * LINK_SHARE;
        Self { bytes_per_second, answers: Vec::new(), used_until: None, named: Vec::new() }
    }

    fn span_of(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.bytes_per_second)
    }

    /// How long the link is busy with what waits.
    fn busy_for(&self, now: Instant) -> Duration {
        let left = self.answers.iter().map(|one| one.left).sum();
        let used =
            self.used_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        used + self.span_of(left)
    }

    /// Decides on a question at `now` that began at `since`, for a document of `bytes`, and was sent
    /// on `hops` times. `others` are the other control instances.
    pub fn decide(
        &mut self,
        (now, since): (Instant, Instant),
        bytes: usize,
        hops: u32,
        others: &[Instance],
    ) -> Course {
        let busy = self.busy_for(now);
        let span = self.span_of(bytes);
        let is_idle = busy <= SLICE_SPAN;
        if is_idle || now + busy + span <= since + PATIENCE {
            return Course::Here;
        }
        match self.least_named(now, others).filter(|_| hops < MAX_HOPS) {
            Some(instance) => {
                self.named.push((instance.clone(), now + span.max(SLICE_SPAN)));
                Course::Elsewhere(instance)
            }
            None => Course::Later(busy),
        }
    }

    /// The first of `others` that no operator was sent to lately; none if all are taken to be busy.
    fn least_named(&mut self, now: Instant, others: &[Instance]) -> Option<Instance> {
        self.named.retain(|(_, until)| now < *until);
        let is_free = |one: &&Instance| self.named.iter().all(|(named, _)| named != *one);
        others.iter().find(is_free).cloned()
    }

    /// Takes an answer of `bytes` that begins when those before it are whole.
    pub fn push(&mut self, request: Request, bytes: usize) {
        self.answers.push(Waiting { request, left: bytes });
    }

    /// Gives up an answer that nobody waits for.
    pub fn remove(&mut self, request: Request) {
        self.answers.retain(|one| one.request != request);
    }

    /// The slice that goes out at `now`, if the link has room for one.
    pub fn next(&mut self, now: Instant) -> Option<Slice> {
        if self.used_until.is_some_and(|until| now < until) {
            return None;
        }
        let most = (self.bytes_per_second * SLICE_SPAN.as_secs_f64()) as usize;
        let answer = self.answers.first_mut()?;
        let bytes = answer.left.min(most.max(1));
        answer.left -= bytes;
        let (request, is_last) = (answer.request, answer.left == 0);
        if is_last {
            self.answers.remove(0);
        }
        let from = self.used_until.filter(|until| *until + MAX_BEHIND > now).unwrap_or(now);
        self.used_until = Some(from + self.span_of(bytes));
        Some(Slice { request, bytes, is_last })
    }

    /// When the next slice goes out; none if no answer waits.
    pub fn next_at(&self) -> Option<Instant> {
        self.used_until.filter(|_| !self.answers.is_empty())
    }
}
