//! Asks the keepers of upstreams how much these hold, in a large fleet.
//!
//! The keeper of an upstream is an entry instance of its data centre. A request reserves its place
//! at an upstream with the question, so that two that ask at once know of each other.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use forward::{Affinity, Candidate, Choice, Search, Step, Walk, Wish, scattered};
use names::{DataCentre, Instance, Service, Upstream};
use stakker::{CX, FixedTimerKey, at};

use super::Forwarder;
use super::loads::{Count, Message};
use super::placing::Placed;

/// How long an answer of a keeper is waited for: several round trips between data centres on a busy
/// machine, and a small part of the shortest objective.
const KEEPER_SPAN: Duration = Duration::from_millis(30);

/// For how long a keeper that did not answer is asked, but not waited for.
const SILENT_SPAN: Duration = Duration::from_millis(1000);

/// How engines are looked for: one after the other, so that a context stays where it is.
const ENGINES: Search = Search { breadth: 1, most: 3, fill: 1.1, bound: BOUND_SHARE };

/// How plain upstreams are looked for: two at a time, of which the less loaded one is taken.
const PLAIN: Search = Search { breadth: 2, most: 4, fill: 1.5, bound: BOUND_SHARE };

/// Share of the bound on the load that is used. Counts are exact but for what is on its way, the
/// mean is an estimate.
const BOUND_SHARE: f64 = 0.75;

/// Another entry instance.
pub(super) struct Other {
    pub(super) instance: Instance,
    pub(super) data_centre: DataCentre,
}

/// A question to a keeper.
pub(super) struct Question {
    number: u64,
    request: names::Request,
    upstream: Upstream,
    keeper: Instance,
}

/// A keeper that did not answer.
pub(super) struct Silent {
    keeper: Instance,
    until: Instant,
}

/// What is known of an upstream once its keeper was asked.
enum Word {
    /// Requests there and how much each counts, since this instance is its keeper.
    Held(u32, f64),
    /// The keeper is not waited for.
    Silent,
    /// The keeper will answer.
    Asked,
}

/// The search of a request for its upstream.
pub(super) struct Walking {
    walk: Walk,
    /// Prompt tokens that are reserved wherever it has asked.
    tokens: f64,
    timer: FixedTimerKey,
}

/// A number above those of earlier runs, if the clock was not set back; if it was, keepers pass over
/// what this run says until they have forgotten the earlier one, for some seconds.
pub(super) fn first_number() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_nanos()).unwrap_or_default()
}

impl Forwarder {
    /// How to look for an upstream among `candidates`; none if no keeper would answer, so that this
    /// instance chooses by what it has heard.
    pub(super) fn search(
        &self,
        now: Instant,
        candidates: &[Candidate],
        has_engine: bool,
        wish: Wish,
    ) -> Option<(Search, Vec<Choice>)> {
        if !forward::is_wide(self.entries) {
            return None;
        }
        let mut choices = choices(candidates, has_engine, wish);
        let mut search = if has_engine { ENGINES } else { PLAIN };
        search.bound *= self.settings.direct.load_bound;
        choices.truncate(search.most);
        let is_heard = |choice: &Choice| {
            let counted = self.table.count(&choice.upstream);
            let keeper = counted.and_then(|one| self.keeper(&choice.upstream, one.data_centre));
            keeper.is_none_or(|keeper| !self.is_silent(now, &keeper))
        };
        let is_asked = choices.is_empty() || choices.iter().any(is_heard);
        is_asked.then_some((search, choices))
    }

    fn is_silent(&self, now: Instant, keeper: &Instance) -> bool {
        self.silent.iter().any(|one| one.keeper == *keeper && now < one.until)
    }

    /// Begins to look for an upstream.
    pub(super) fn walk(
        &mut self,
        cx: CX![],
        id: names::Request,
        search: Search,
        choices: Vec<Choice>,
    ) -> Placed {
        let Some(active) = self.active(id) else {
            return Placed::Sent;
        };
        let (wish, tokens) = (active.wish(), active.own_tokens());
        let mut walk = Walk::new(search, choices, wish.lot);
        let step = walk.begin();
        if step == Step::Full {
            return Placed::Full;
        }
        if let Some(active) = self.active(id) {
            active.walking = Some(Walking { walk, tokens, timer: FixedTimerKey::default() });
        }
        self.follow(cx, id, step);
        Placed::Asking
    }

    /// Does what a walk asks for.
    fn follow(&mut self, cx: CX![], id: names::Request, mut step: Step) {
        loop {
            step = match step {
                Step::Ask(choices) => self.ask(cx, id, &choices),
                Step::Wait => return,
                Step::Take(upstream) => {
                    let load = self.end_walk(cx, id, Some(&upstream));
                    self.send(cx, id, &upstream, load);
                    let service = self.active(id).map(|active| active.service.clone());
                    if let Some(service) = service {
                        self.serve_line(cx, &service);
                    }
                    return;
                }
                Step::Full => {
                    self.end_walk(cx, id, None);
                    self.wait(cx, id);
                    return;
                }
            };
        }
    }

    /// Reserves a place at each of `choices` and asks their keepers.
    fn ask(&mut self, cx: CX![], id: names::Request, choices: &[Choice]) -> Step {
        let now = cx.now();
        let Some(active) = self.active(id) else {
            return Step::Wait;
        };
        let service = active.service.clone();
        let tokens = active.walking.as_ref().map_or(0.0, |walking| walking.tokens);
        let mut words = Vec::new();
        for choice in choices {
            self.table.begin(now, &choice.upstream, tokens);
            let word = self.ask_keeper(now, id, choice);
            words.push((choice.upstream.clone(), word));
        }
        let timer = at!(now + KEEPER_SPAN, [cx], stop_asking(id));
        let mean = self.mean(&service);
        let Some(walking) = self.active(id).and_then(|active| active.walking.as_mut()) else {
            return Step::Wait;
        };
        let former = std::mem::replace(&mut walking.timer, timer);
        let mut step = Step::Wait;
        for (upstream, word) in words {
            step = match word {
                Word::Held(held, weight) => walking.walk.answer(&upstream, held, weight, mean),
                Word::Silent => walking.walk.guess(&upstream, mean),
                Word::Asked => Step::Wait,
            };
        }
        cx.timer_del(former);
        step
    }

    /// Asks the keeper of an upstream.
    fn ask_keeper(&mut self, now: Instant, request: names::Request, choice: &Choice) -> Word {
        let Some(counted) = self.table.count(&choice.upstream) else {
            return Word::Silent;
        };
        let (upstream, held) = (counted.short, counted.own);
        let in_flight = self.table.in_flight(counted.service);
        let keeper = self.keeper(&choice.upstream, counted.data_centre);
        self.number += 1;
        let number = self.number;
        let Some(keeper) = keeper else {
            let me = self.settings.instance.clone();
            self.tally.tell(now, &me, number, upstream, held);
            let weight = self.weight(now, upstream);
            return Word::Held(self.tally.held(now, upstream), weight);
        };
        let count = Count { number, upstream, held, in_flight, micros: 0 };
        self.send_loads(vec![keeper.clone()], &Message::Ask(count));
        if self.is_silent(now, &keeper) {
            return Word::Silent;
        }
        let upstream = choice.upstream.clone();
        self.questions.push(Question { number, request, upstream, keeper });
        Word::Asked
    }

    /// The other instance that keeps the load of `upstream`; none if this one does.
    pub(super) fn keeper(&self, upstream: &Upstream, data_centre: &DataCentre) -> Option<Instance> {
        let near = self.others.iter().filter(|other| other.data_centre == *data_centre);
        let near = near.map(|other| &other.instance);
        let is_mine = self.settings.data_centre == *data_centre;
        let me = is_mine.then_some(&self.settings.instance);
        let keeper = placement::owner(upstream, near.chain(me));
        let all = || self.others.iter().map(|other| &other.instance);
        let keeper =
            keeper.or_else(|| placement::owner(upstream, all().chain([&self.settings.instance])));
        keeper.filter(|keeper| **keeper != self.settings.instance).cloned()
    }

    /// How much a request at an upstream counts: more if it is slow.
    pub(super) fn weight(&self, now: Instant, upstream: u32) -> f64 {
        let service = self.table.count_of(upstream).map(|counted| counted.service);
        let kin = service.into_iter().flat_map(|service| self.table.kin(service));
        self.paces.slowness(now, upstream, kin)
    }

    /// The mean load for each slot of `service`.
    fn mean(&mut self, service: &Service) -> f64 {
        let slots = f64::from(self.table.slots(service).max(1));
        let own = self.table.in_flight(service);
        let entries = self.entries as f64;
        let mean = self.flow(service).level.mean().unwrap_or(f64::from(own));
        mean * entries / slots
    }

    /// Takes the answer of a keeper.
    pub(super) fn take_count(&mut self, cx: CX![], keeper: &Instance, count: Count) {
        self.silent.retain(|one| one.keeper != *keeper);
        let found = self.questions.iter().position(|one| one.number == count.number);
        let Some(question) = found.map(|index| self.questions.swap_remove(index)) else {
            return;
        };
        let Some(active) = self.active(question.request) else {
            return;
        };
        let (service, now) = (active.service.clone(), cx.now());
        self.flow(&service).level.sample(count.in_flight);
        if count.micros > 0 {
            self.paces.hear(now, count.upstream, count.micros);
        }
        let weight = self.weight(now, count.upstream);
        let mean = self.mean(&service);
        let walking = self.active(question.request).and_then(|active| active.walking.as_mut());
        if let Some(walking) = walking {
            let step = walking.walk.answer(&question.upstream, count.held, weight, mean);
            self.follow(cx, question.request, step);
        }
    }

    /// Goes on without keepers that have not answered.
    fn stop_asking(&mut self, cx: CX![], id: names::Request) {
        let now = cx.now();
        self.silent.retain(|one| now < one.until);
        for question in self.questions.extract_if(.., |one| one.request == id) {
            log::debug!("instance {}: no answer about {}", question.keeper, question.upstream);
            self.silent.push(Silent { keeper: question.keeper, until: now + SILENT_SPAN });
        }
        let Some(service) = self.active(id).map(|active| active.service.clone()) else {
            return;
        };
        let mean = self.mean(&service);
        let walking = self.active(id).and_then(|active| active.walking.as_mut());
        if let Some(walking) = walking {
            let step = walking.walk.give_up_waiting(mean);
            self.follow(cx, id, step);
        }
    }

    /// Ends the search of a request, which takes the place at `taken` alone; gives the load there.
    fn end_walk(&mut self, cx: CX![], id: names::Request, taken: Option<&Upstream>) -> f64 {
        let Some(walking) = self.active(id).and_then(|active| active.walking.take()) else {
            return 0.0;
        };
        cx.timer_del(walking.timer);
        self.questions.retain(|one| one.request != id);
        for upstream in walking.walk.asked().filter(|one| Some(*one) != taken) {
            self.release(cx.now(), upstream, walking.tokens);
        }
        taken.map_or(0.0, |taken| walking.walk.load(taken))
    }

    /// Gives up all that a search has reserved, since its request ended.
    pub(super) fn abandon(&mut self, cx: CX![], id: names::Request, walking: &Walking) {
        cx.timer_del(walking.timer);
        self.questions.retain(|one| one.request != id);
        for upstream in walking.walk.asked() {
            self.release(cx.now(), upstream, walking.tokens);
        }
    }

    fn release(&mut self, now: Instant, upstream: &Upstream, tokens: f64) {
        self.table.read(upstream, tokens);
        self.table.end(upstream);
        self.tell_count(now, upstream);
    }
}

/// The candidates that are asked about, the preferred first.
fn choices(candidates: &[Candidate], has_engine: bool, wish: Wish) -> Vec<Choice> {
    let order = match has_engine {
        true => Affinity::new(1.0, 1).order(candidates, wish),
        false => scattered(candidates, wish.lot),
    };
    let choice = |index: usize| Choice {
        upstream: candidates[index].upstream.clone(),
        slots: candidates[index].slots,
        estimate: candidates[index].load,
    };
    order.into_iter().map(choice).collect()
}
