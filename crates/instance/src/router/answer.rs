//! An upstream's answer on its way to the caller.

use dispatch::{Adapter, Field, Head, Judgement, Progress, Transcript, Verdict};
use entry::{Header, Reply, Status};
use names::Attempt;

/// Headers of upstreams that are passed on.
const PASSED_HEADERS: [&str; 4] = ["cache-control", "content-type", "etag", "location"];

/// What to do after a piece of the answer.
pub(super) enum Outcome {
    /// Wait for more.
    Nothing,
    /// Pass these on and wait for more.
    Replies(Vec<Reply>),
    /// Pass these on; the answer is whole.
    Finished(Vec<Reply>),
    /// Pass these on; the attempt failed.
    Failed { replies: Vec<Reply>, verdict: Verdict, reason: String },
}

enum Phase {
    Waiting,
    Streaming,
    Collecting { head: Head, body: Vec<u8> },
}

/// Turns the progress of one attempt after another into replies.
pub(super) struct Answer {
    streams: bool,
    adapter: &'static dyn Adapter,
    attempt: Attempt,
    phase: Phase,
    transcript: Transcript,
    /// Whether the caller has the head of the stream.
    has_started: bool,
    can_resume: bool,
}

fn pass_on(fields: Vec<Field>) -> Vec<Header> {
    let passed = fields.into_iter().filter(|field| PASSED_HEADERS.contains(&field.name.as_str()));
    passed.map(|field| Header { name: field.name, value: field.value }).collect()
}

fn is_event_stream(head: &Head) -> bool {
    head.header("content-type").is_some_and(|value| value.starts_with("text/event-stream"))
}

fn failed<T>(verdict: Verdict, reason: T) -> Outcome
where
    T: ToString,
{
    Outcome::Failed { replies: Vec::new(), verdict, reason: reason.to_string() }
}

fn broken<T>(reason: T) -> Outcome
where
    T: ToString,
{
    failed(Verdict::MayHaveRun, reason)
}

impl Answer {
    /// An answer of which nothing has arrived; `streams` when the caller wants it as a stream.
    pub(super) fn new(streams: bool, adapter: &'static dyn Adapter) -> Self {
        Self {
            streams,
            adapter,
            attempt: Attempt(0),
            phase: Phase::Waiting,
            transcript: Transcript::default(),
            has_started: false,
            can_resume: adapter.can_resume(),
        }
    }

    /// Gets ready for the answer of another attempt; gives the offset where it has to start.
    pub(super) fn begin(&mut self, attempt: Attempt) -> u64 {
        self.attempt = attempt;
        self.phase = Phase::Waiting;
        if self.has_started {
            self.transcript.resume();
        }
        self.transcript.delivered()
    }

    /// Whether another attempt can go on where this one broke off.
    pub(super) fn can_resume(&self) -> bool {
        self.can_resume
    }

    /// Takes the next progress. A collected body may have at most `limit` bytes.
    pub(super) fn take(&mut self, progress: Progress, limit: usize) -> Outcome {
        match progress {
            Progress::Head { status, headers } => self.start(Head { status, headers }),
            Progress::Part(part) => self.add(&part, limit),
            Progress::End => self.end(),
            Progress::Failed { .. } if self.is_whole_stream() => self.end(),
            Progress::Failed { verdict, reason } => failed(verdict, reason),
        }
    }

    fn is_whole_stream(&self) -> bool {
        matches!(self.phase, Phase::Streaming) && self.transcript.is_whole()
    }

    fn start(&mut self, head: Head) -> Outcome {
        let offset = self.transcript.delivered();
        match self.adapter.judge(self.attempt, offset, &head) {
            Judgement::Accepted => self.accept(head),
            Judgement::Failed(verdict) => {
                failed(verdict, format!("it answered with status {}", head.status))
            }
            Judgement::Crossed => broken("it sent the answer to another attempt"),
            Judgement::NotResumed => {
                self.can_resume = false;
                broken("it did not resume the stream")
            }
        }
    }

    fn accept(&mut self, head: Head) -> Outcome {
        if self.streams && head.status == 200 && is_event_stream(&head) {
            self.phase = Phase::Streaming;
            if self.has_started {
                return Outcome::Nothing;
            }
            self.has_started = true;
            let (status, headers) = (Status(head.status), pass_on(head.headers));
            return Outcome::Replies(vec![Reply::Start { status, headers, length: None }]);
        }
        if self.has_started {
            return broken(format!("it resumed the stream with status {}", head.status));
        }
        self.phase = Phase::Collecting { head, body: Vec::new() };
        Outcome::Nothing
    }

    fn add(&mut self, part: &[u8], limit: usize) -> Outcome {
        match &mut self.phase {
            Phase::Waiting => broken("the answer has no head"),
            Phase::Streaming => self.add_events(part),
            Phase::Collecting { body, .. } if body.len() + part.len() > limit => {
                broken(format!("the answer is larger than {limit} bytes"))
            }
            Phase::Collecting { body, .. } => {
                body.extend_from_slice(part);
                Outcome::Nothing
            }
        }
    }

    fn add_events(&mut self, part: &[u8]) -> Outcome {
        let mut out = Vec::new();
        let taken = self.transcript.take(part, &mut out);
        let replies = if out.is_empty() { Vec::new() } else { vec![Reply::Part(out)] };
        match taken {
            Ok(()) if replies.is_empty() => Outcome::Nothing,
            Ok(()) => Outcome::Replies(replies),
            Err(flaw) => {
                let (verdict, reason) = (Verdict::MayHaveRun, flaw.to_string());
                Outcome::Failed { replies, verdict, reason }
            }
        }
    }

    fn end(&mut self) -> Outcome {
        match std::mem::replace(&mut self.phase, Phase::Waiting) {
            Phase::Waiting => broken("the answer has no head"),
            Phase::Streaming if self.transcript.is_whole() => Outcome::Finished(vec![Reply::End]),
            Phase::Streaming => broken("the stream ended before it was whole"),
            Phase::Collecting { head, body } if !self.adapter.is_whole(&head, &body) => {
                broken("the answer ended before it was whole")
            }
            Phase::Collecting { head, body } => {
                let (status, mut headers) = (Status(head.status), pass_on(head.headers));
                if status.0 >= 500 {
                    headers.push(Header::verdict(Verdict::MayHaveRun));
                }
                Outcome::Finished(vec![Reply::Whole { status, headers, body }])
            }
        }
    }
}
