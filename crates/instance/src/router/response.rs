//! Conversion of an upstream's response into replies for the caller.

use dispatch::{Adapter, Field, Head, HeadOutcome, Progress, StreamJoiner, Verdict};
use entry::{Header, Reply, Status};
use names::Attempt;

/// Response headers of upstreams that are forwarded to callers.
const FORWARDED_HEADERS: [&str; 4] = ["cache-control", "content-type", "etag", "location"];

/// Part of its size by which a collected body grows, so that little of its memory is unused.
const COLLECTED_GROWTH_DIVISOR: usize = 4;

/// Action that follows a piece of the response.
pub(super) enum ResponseStep {
    /// Wait for the next piece.
    Nothing,
    /// Forward these replies and wait for the next piece.
    Replies(Vec<Reply>),
    /// Forward these replies; the response is complete.
    Finished(Vec<Reply>),
    /// Forward these replies; the attempt has failed.
    Failed { replies: Vec<Reply>, verdict: Verdict, reason: String },
}

enum Phase {
    Waiting,
    Streaming,
    Collecting { head: Head, body: Vec<u8> },
}

/// Converts the progress of successive attempts into one sequence of replies.
pub(super) struct UpstreamResponse {
    streams: bool,
    /// Whether an attempt may use a connection that has carried other requests.
    reuses_connections: bool,
    adapter: &'static dyn Adapter,
    attempt: Attempt,
    phase: Phase,
    joiner: StreamJoiner,
    /// Whether the caller has received the head of the stream.
    has_started: bool,
    /// Whether every upstream so far has resumed the stream.
    is_resumed: bool,
}

fn forwarded_headers(fields: Vec<Field>) -> Vec<Header> {
    let forwarded =
        fields.into_iter().filter(|field| FORWARDED_HEADERS.contains(&field.name.as_str()));
    forwarded.map(|field| Header { name: field.name, value: field.value }).collect()
}

fn is_event_stream(head: &Head) -> bool {
    head.header("content-type").is_some_and(|value| value.starts_with("text/event-stream"))
}

fn attempt_failed<T>(verdict: Verdict, reason: T) -> ResponseStep
where
    T: ToString,
{
    ResponseStep::Failed { replies: Vec::new(), verdict, reason: reason.to_string() }
}

fn may_have_run<T>(reason: T) -> ResponseStep
where
    T: ToString,
{
    attempt_failed(Verdict::MayHaveRun, reason)
}

impl UpstreamResponse {
    /// Creates an empty response. `streams` tells whether the caller has requested a stream,
    /// `reuses_connections` whether attempts use connections that have carried other requests.
    pub(super) fn new(
        streams: bool,
        reuses_connections: bool,
        adapter: &'static dyn Adapter,
    ) -> Self {
        Self {
            streams,
            reuses_connections,
            adapter,
            attempt: Attempt(0),
            phase: Phase::Waiting,
            joiner: StreamJoiner::default(),
            has_started: false,
            is_resumed: true,
        }
    }

    /// Starts the response of another attempt and returns the offset at which it has to resume.
    pub(super) fn begin(&mut self, attempt: Attempt) -> u64 {
        self.attempt = attempt;
        self.phase = Phase::Waiting;
        if self.has_started {
            self.joiner.resume();
        }
        self.joiner.delivered()
    }

    /// Returns whether another attempt can resume the stream where this attempt stopped. After an
    /// upstream that did not resume it, only one that the request left before can. Behind the last
    /// event there is nothing to resume.
    pub(super) fn can_resume(&self, can_return: bool) -> bool {
        let may_return = self.is_resumed || can_return;
        self.adapter.can_resume() && may_return && !self.joiner.is_complete()
    }

    /// Drops what the ended attempt has left.
    pub(super) fn discard(&mut self) {
        self.phase = Phase::Waiting;
    }

    /// Returns the size of the memory that holds the response until it is complete.
    pub(super) fn collected_bytes(&self) -> usize {
        match &self.phase {
            Phase::Collecting { body, .. } => body.capacity(),
            Phase::Waiting | Phase::Streaming => 0,
        }
    }

    /// Returns by how much a part of the response enlarges the memory that holds it.
    pub(super) fn growth(&self, part_bytes: usize) -> usize {
        match &self.phase {
            Phase::Collecting { body, .. } if body.capacity() - body.len() < part_bytes => {
                part_bytes.max(body.len() / COLLECTED_GROWTH_DIVISOR)
            }
            Phase::Collecting { .. } | Phase::Waiting | Phase::Streaming => 0,
        }
    }

    /// Processes the next progress of the attempt. A body that is not streamed may have at most
    /// `limit` bytes.
    pub(super) fn process(&mut self, progress: Progress, limit: usize) -> ResponseStep {
        match progress {
            Progress::Head { status, headers, framing } => {
                self.start(Head { status, headers, framing })
            }
            Progress::Body(part) => self.add(&part, limit),
            Progress::Received => ResponseStep::Nothing,
            // The adapter checks a response without a length or chunks by its content.
            Progress::End | Progress::Closed => self.end(),
            // The last event proves the end, unless the framing around the events is damaged.
            Progress::Failed { rule: None, .. } if self.is_complete_stream() => self.end(),
            Progress::NotSent { reason } => attempt_failed(Verdict::NotRun, reason),
            Progress::Failed { verdict, reason, .. } => attempt_failed(verdict, reason),
        }
    }

    fn is_complete_stream(&self) -> bool {
        matches!(self.phase, Phase::Streaming) && self.joiner.is_complete()
    }

    fn start(&mut self, head: Head) -> ResponseStep {
        let offset = self.joiner.delivered();
        match self.adapter.check_head(self.attempt, offset, &head) {
            HeadOutcome::Accepted => self.accept(head),
            HeadOutcome::Failed(Verdict::NotRun)
                if self.reuses_connections && !head.names_attempt(self.attempt) =>
            {
                // The refusal may be a late copy of that of another request.
                may_have_run(format!("it answered with status {} without attempt id", head.status))
            }
            HeadOutcome::Failed(verdict) => {
                attempt_failed(verdict, format!("it answered with status {}", head.status))
            }
            HeadOutcome::WrongAttempt => may_have_run("it sent the answer to another attempt"),
            HeadOutcome::NotResumed => {
                self.is_resumed = false;
                may_have_run("it did not resume the stream")
            }
        }
    }

    fn accept(&mut self, head: Head) -> ResponseStep {
        if self.streams && head.status == 200 && is_event_stream(&head) {
            self.phase = Phase::Streaming;
            if self.has_started {
                return ResponseStep::Nothing;
            }
            self.has_started = true;
            let (status, headers) = (Status(head.status), forwarded_headers(head.headers));
            return ResponseStep::Replies(vec![Reply::Start { status, headers, length: None }]);
        }
        if self.has_started {
            return may_have_run(format!("it resumed the stream with status {}", head.status));
        }
        self.phase = Phase::Collecting { head, body: Vec::new() };
        ResponseStep::Nothing
    }

    fn add(&mut self, part: &[u8], limit: usize) -> ResponseStep {
        let growth = self.growth(part.len());
        match &mut self.phase {
            Phase::Waiting => may_have_run("the answer has no head"),
            Phase::Streaming => self.add_events(part),
            Phase::Collecting { body, .. } if body.len() + part.len() > limit => {
                may_have_run(format!("the answer is larger than {limit} bytes"))
            }
            Phase::Collecting { body, .. } => {
                body.reserve_exact(growth);
                body.extend_from_slice(part);
                ResponseStep::Nothing
            }
        }
    }

    fn add_events(&mut self, part: &[u8]) -> ResponseStep {
        let mut out = Vec::new();
        let result = self.joiner.push(part, &mut out);
        let replies = if out.is_empty() { Vec::new() } else { vec![Reply::Part(out)] };
        match result {
            Ok(()) if replies.is_empty() => ResponseStep::Nothing,
            Ok(()) => ResponseStep::Replies(replies),
            Err(error) => {
                let (verdict, reason) = (Verdict::MayHaveRun, error.to_string());
                ResponseStep::Failed { replies, verdict, reason }
            }
        }
    }

    fn end(&mut self) -> ResponseStep {
        match std::mem::replace(&mut self.phase, Phase::Waiting) {
            Phase::Waiting => may_have_run("the answer has no head"),
            Phase::Streaming if self.joiner.is_complete() => {
                ResponseStep::Finished(vec![Reply::End])
            }
            Phase::Streaming => may_have_run("the stream ended before it was complete"),
            Phase::Collecting { head, body } if !self.adapter.is_complete(&head, &body) => {
                may_have_run("the answer ended before it was complete")
            }
            Phase::Collecting { head, body } => {
                let (status, mut headers) = (Status(head.status), forwarded_headers(head.headers));
                if status.0 >= 500 {
                    headers.push(Header::verdict(Verdict::MayHaveRun));
                }
                ResponseStep::Finished(vec![Reply::Whole { status, headers, body }])
            }
        }
    }
}
