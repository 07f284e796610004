//! Cost of reading a prompt at an engine.
//!
//! The unit of a cost is the time in which an engine of the usual pace reads one prompt token. The
//! reading speed itself is on no wire, and is the same for all engines of a service apart from their
//! pace, so that comparisons between engines do not need it.

use std::time::Instant;

use crate::{Pace, PaceEstimate};

/// Price of a shared token that is read again, in addition to the time for reading it. While an
/// engine reads it, the engine could read a token that no engine has read.
const REREAD_PRICE: f64 = 1.0;

/// Cost by which another engine must be cheaper than the preferred one. A chunk that an engine reads
/// between two steps is as long, and counts are out of date by about one step.
const MIN_GAIN: f64 = 1024.0;

/// Length of a prompt, as far as the choice of an engine depends on it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PromptSize {
    /// Number of tokens that every engine has to read.
    pub own_tokens: f64,
    /// Number of tokens that an engine does not read if it has the context of the request.
    pub shared_tokens: f64,
    /// Whether the request is more urgent than others of its service.
    pub is_urgent: bool,
}

/// Work at an engine, apart from the request that is placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineWork {
    /// Number of prompt tokens that are not read yet.
    pub unread_tokens: f64,
    /// Number of urgent requests.
    pub urgent: f64,
    /// Pace of the engine, in percent.
    pub pace_percent: f64,
}

/// Work at an engine at which nothing is known to run.
const IDLE: EngineWork = EngineWork { unread_tokens: 0.0, urgent: 0.0, pace_percent: 100.0 };

/// Whether an engine has the context of a request in its cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CachedContext {
    /// The engine has answered a request with this context to this instance.
    Held,
    /// The engine is the first in the order of the context, and so are requests of other instances
    /// with this context sent there.
    Expected,
    /// Nothing suggests that the engine has the context.
    Absent,
}

/// What the cost of a request at one engine depends on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineCost {
    /// Prompt of the request.
    pub prompt: PromptSize,
    /// Whether the engine has the context of the request.
    pub context: CachedContext,
    /// Other work at the engine.
    pub work: EngineWork,
}

impl EngineCost {
    /// Returns the number of tokens that count as unread at the engine until the answer begins.
    ///
    /// A context that is only expected counts as unread: a request with a cached context is answered
    /// so soon that it counts for a short time, and a long prompt that still waits for its answer is
    /// most likely one whose context was not cached.
    pub fn unread_tokens(&self) -> f64 {
        match self.context {
            CachedContext::Held => self.prompt.own_tokens,
            _ => self.prompt.own_tokens + self.prompt.shared_tokens,
        }
    }

    /// Returns the cost: the expected time to the first token, the time by which the request delays
    /// the urgent requests at the engine, and the price of context that is read again.
    ///
    /// An urgent request is charged for no delay of others, since its prompt is read first in any
    /// case. The delay of the others is what a long prompt adds to their pauses and to their first
    /// tokens.
    pub fn value(&self) -> f64 {
        self.value_with(self.work)
    }

    /// Returns the cost without any other work at the engine.
    fn least_value(&self) -> f64 {
        self.value_with(IDLE)
    }

    fn value_with(&self, work: EngineWork) -> f64 {
        let EngineWork { unread_tokens, urgent, pace_percent } = work;
        let delayed = if self.prompt.is_urgent { 0.0 } else { urgent };
        let read_again = match self.context {
            CachedContext::Absent => self.prompt.shared_tokens,
            CachedContext::Held | CachedContext::Expected => 0.0,
        };
        let own_read = self.prompt.own_tokens + read_again;
        let reading = unread_tokens + own_read * (1.0 + delayed);
        reading * pace_percent / 100.0 + read_again * REREAD_PRICE
    }
}

/// Returns the position of the engine to take among the engines with these costs, the preferred one
/// first: the cheapest one if it is clearly cheaper than the preferred one. An engine without a cost
/// is never left or taken for its cost.
pub fn cheapest(costs: &[Option<EngineCost>]) -> usize {
    let value = |position: usize| costs[position].map(|cost| cost.value());
    let Some(preferred) = costs.first().and_then(|_| value(0)) else {
        return 0;
    };
    let gains = (1..costs.len()).filter_map(|other| Some((other, preferred - value(other)?)));
    let clear_gains = gains.filter(|(_, gain)| *gain > MIN_GAIN);
    // The first one among equals, since requests of the same context prefer it.
    let best =
        clear_gains.max_by(|left, right| left.1.total_cmp(&right.1).then(right.0.cmp(&left.0)));
    best.map_or(0, |(position, _)| position)
}

/// Returns whether `other`, about whose work nothing is known, could be clearly cheaper than
/// `preferred`.
pub fn could_be_cheaper(preferred: Option<EngineCost>, other: Option<EngineCost>) -> bool {
    let (Some(preferred), Some(other)) = (preferred, other) else {
        return false;
    };
    preferred.value() - other.least_value() > MIN_GAIN
}

#[derive(Debug, Clone, Copy)]
struct PlacedPrompt {
    request: names::Request,
    /// Number of tokens that the engine has to read, 0 once the answer has begun.
    unread_tokens: f64,
    is_urgent: bool,
}

/// Prompts of this instance at one upstream, and the pace of the upstream.
#[derive(Debug, Clone, Default)]
pub struct PromptWork {
    prompts: Vec<PlacedPrompt>,
    pace: PaceEstimate,
}

impl PromptWork {
    /// Counts a request that is placed at the upstream with the prompt in `cost`.
    pub fn begin(&mut self, request: names::Request, cost: &EngineCost) {
        self.end(request);
        let (unread_tokens, is_urgent) = (cost.unread_tokens(), cost.prompt.is_urgent);
        self.prompts.push(PlacedPrompt { request, unread_tokens, is_urgent });
    }

    /// Records that the upstream has read the prompt of a request, since its answer has begun.
    pub fn record_read(&mut self, request: names::Request) {
        let mut prompts = self.prompts.iter_mut();
        if let Some(prompt) = prompts.find(|prompt| prompt.request == request) {
            prompt.unread_tokens = 0.0;
        }
    }

    /// Removes a request that ended or is not sent to the upstream.
    pub fn end(&mut self, request: names::Request) {
        self.prompts.retain(|prompt| prompt.request != request);
    }

    /// Records that the upstream named `pace` at `at`.
    pub fn record_pace(&mut self, at: Instant, pace: Pace) {
        self.pace.record(at, pace);
    }

    /// Returns the pace of the upstream.
    pub fn pace(&self) -> &PaceEstimate {
        &self.pace
    }

    /// Returns the number of prompt tokens of this instance that the upstream has not read.
    pub fn unread_tokens(&self) -> f64 {
        self.prompts.iter().map(|prompt| prompt.unread_tokens).sum()
    }

    /// Returns the number of urgent requests of this instance at the upstream.
    pub fn urgent(&self) -> u32 {
        let urgent = self.prompts.iter().filter(|prompt| prompt.is_urgent).count();
        u32::try_from(urgent).unwrap_or(u32::MAX)
    }

    /// Returns the work of this instance at the upstream, apart from `request`.
    pub fn work(&self, now: Instant, request: names::Request) -> EngineWork {
        let others = self.prompts.iter().filter(|prompt| prompt.request != request);
        let urgent = others.clone().filter(|prompt| prompt.is_urgent).count();
        EngineWork {
            unread_tokens: others.map(|prompt| prompt.unread_tokens).sum(),
            urgent: urgent as f64,
            pace_percent: self.pace.percent(now),
        }
    }
}
