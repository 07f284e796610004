//! The search for an upstream whose load its keeper knows.

use names::Upstream;

/// How an upstream is looked for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Search {
    /// Keepers that are asked at a time.
    pub breadth: usize,
    /// Upstreams that are asked about at most.
    pub most: usize,
    /// Requests held for each slot at most.
    pub fill: f64,
    /// Load at most, as a multiple of the mean, beyond the free load.
    pub bound: f64,
}

/// An upstream that may be asked about.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// Its name.
    pub upstream: Upstream,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Its load as this instance estimates it, used when its keeper is silent.
    pub estimate: f64,
}

/// What follows.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Ask the keepers of these.
    Ask(Vec<Choice>),
    /// Send the request to this one; what was reserved at the others is given up.
    Take(Upstream),
    /// Wait for the other answers.
    Wait,
    /// None of them has room.
    Full,
}

/// An upstream that was asked about.
#[derive(Debug, Clone)]
struct Asked {
    choice: Choice,
    /// Requests that it has with this one.
    held: Option<f64>,
    /// How much each of them counts: more where the upstream is slow.
    weight: f64,
    /// Its keeper did not say so.
    is_guess: bool,
}

/// The search of one request.
///
/// It goes through the upstreams in their order, and takes the first within the bound. Where none is,
/// it takes the least loaded one that has room: all are busy then, and the bound, which is over the
/// mean, is near them all. Of the requests for an upstream whose keeper is silent, half look further
/// first: what it holds is a guess. Answers loads of a large fleet, in which no instance knows by itself how
/// much an upstream holds.
#[derive(Debug, Clone)]
pub struct Walk {
    search: Search,
    /// Whether this request goes by guesses.
    trusts_guesses: bool,
    /// Those that were not asked about, the first first.
    ahead: Vec<Choice>,
    asked: Vec<Asked>,
}

/// Requests that an upstream may always hold, so that small loads are not spread for the sake of a
/// bound that says nothing yet.
const FREE_LOAD: f64 = 2.0;

impl Walk {
    /// A search among `choices`, the preferred first, of a request with the random number `lot`.
    pub fn new(search: Search, mut choices: Vec<Choice>, lot: u64) -> Self {
        choices.truncate(search.most);
        let trusts_guesses = lot.is_multiple_of(2);
        Self { search, trusts_guesses, ahead: choices, asked: Vec::new() }
    }

    /// The first step.
    pub fn begin(&mut self) -> Step {
        self.ask()
    }

    /// The upstreams that were asked about.
    pub fn asked(&self) -> impl Iterator<Item = &Upstream> {
        self.asked.iter().map(|one| &one.choice.upstream)
    }

    /// The upstreams whose keepers have not answered.
    pub fn awaited(&self) -> impl Iterator<Item = &Upstream> {
        self.asked.iter().filter(|one| one.held.is_none()).map(|one| &one.choice.upstream)
    }

    /// Requests at `upstream` as far as its keeper has told, or as estimated.
    pub fn load(&self, upstream: &Upstream) -> f64 {
        let asked = self.asked.iter().find(|one| one.choice.upstream == *upstream);
        asked.and_then(|one| one.held).unwrap_or_default()
    }

    /// Takes the number of requests that `upstream` has, with this one, while the mean of its
    /// service is `mean` for each slot. At a slow one each of them counts with a `weight` above 1, but
    /// not for whether it has room: a slow answer is better than none.
    pub fn answer(&mut self, upstream: &Upstream, held: u32, weight: f64, mean: f64) -> Step {
        let waits = |one: &&mut Asked| one.held.is_none() && one.choice.upstream == *upstream;
        match self.asked.iter_mut().find(waits) {
            Some(asked) => (asked.held, asked.weight) = (Some(f64::from(held)), weight),
            None => return Step::Wait,
        }
        self.decide(mean)
    }

    /// Goes on without the keeper of `upstream`, by what this instance estimates.
    pub fn guess(&mut self, upstream: &Upstream, mean: f64) -> Step {
        let waits = |one: &&mut Asked| one.held.is_none() && one.choice.upstream == *upstream;
        if let Some(asked) = self.asked.iter_mut().find(waits) {
            asked.held = Some(asked.choice.estimate + 1.0);
            asked.is_guess = true;
        }
        self.decide(mean)
    }

    /// Goes on without the keepers that have not answered.
    pub fn give_up_waiting(&mut self, mean: f64) -> Step {
        let awaited: Vec<Upstream> = self.awaited().cloned().collect();
        let guesses = awaited.iter().map(|upstream| self.guess(upstream, mean));
        guesses.last().unwrap_or(Step::Wait)
    }

    fn decide(&mut self, mean: f64) -> Step {
        if self.awaited().next().is_some() {
            return Step::Wait;
        }
        let within = self.asked.iter().filter(|one| self.is_within(one, mean));
        if let Some(best) = least(within) {
            return Step::Take(best);
        }
        if !self.ahead.is_empty() {
            return self.ask();
        }
        match least(self.asked.iter().filter(|one| self.has_room(one))) {
            Some(best) => Step::Take(best),
            None => Step::Full,
        }
    }

    fn ask(&mut self) -> Step {
        let count = self.search.breadth.max(1).min(self.ahead.len());
        let next: Vec<Choice> = self.ahead.drain(..count).collect();
        if next.is_empty() {
            return Step::Full;
        }
        let asked = next.iter().map(|choice| Asked {
            choice: choice.clone(),
            held: None,
            weight: 1.0,
            is_guess: false,
        });
        self.asked.extend(asked);
        Step::Ask(next)
    }

    fn has_room(&self, asked: &Asked) -> bool {
        let slots = f64::from(asked.choice.slots.max(1));
        asked.held.is_some_and(|held| held <= (slots * self.search.fill).max(1.0))
    }

    fn is_within(&self, asked: &Asked, mean: f64) -> bool {
        let slots = f64::from(asked.choice.slots.max(1));
        let most = self.search.bound * mean * slots + FREE_LOAD + 1.0;
        let is_known = !asked.is_guess || self.trusts_guesses;
        let is_bounded = asked.held.is_some_and(|held| held * asked.weight <= most);
        is_known && self.has_room(asked) && is_bounded
    }
}

/// The one for whose slots fewest requests are held, the first of equals.
fn least<'a, I>(asked: I) -> Option<Upstream>
where
    I: Iterator<Item = &'a Asked>,
{
    let load = |one: &Asked| {
        one.held.unwrap_or_default() * one.weight / f64::from(one.choice.slots.max(1))
    };
    let best = asked.min_by(|one, other| load(one).total_cmp(&load(other)));
    best.map(|one| one.choice.upstream.clone())
}
