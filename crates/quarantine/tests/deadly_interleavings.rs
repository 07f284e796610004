//! Property tests: a fleet with requests that crash upstreams, sound requests, crashes of many
//! upstreams, lost and late messages, cuts and restarts of instances, in any order.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use quarantine::{Admission, Key, Record, Run, Suspects};

const INSTANCES: usize = 6;
const UPSTREAMS: usize = 8;

/// Instances of the data centre that may be cut off.
const CUT_OFF: [usize; 2] = [2, 5];

/// Key of a request that all instances send again and again, and that is sound.
const HOT: Key = Key(1);

/// First of the keys that crash upstreams.
const FIRST_BAD: u64 = 1_000_000;

const TICK: Duration = Duration::from_millis(10);
const RUN_DURATION: Duration = Duration::from_millis(60);
const BAD_RUN_DURATION: Duration = Duration::from_millis(80);
const RESTART_DELAY: Duration = Duration::from_millis(1500);

/// Time between an end and the proof that the process is gone.
const CHECK_DELAY: Duration = Duration::from_millis(100);

/// Time within which the fleet has to know a request that has ended three upstreams, and number of
/// times that it may reach upstreams afterwards.
const CONTACT: Duration = Duration::from_millis(3000);
const CRASHES: usize = 3;
const MAX_LATER_REQUESTS: usize = 3;

const DURATION: Duration = Duration::from_secs(14);

#[derive(Debug, Clone)]
struct Plan {
    seed: u64,
    bad_keys: u64,
    bad_interval_ms: u64,
    delay_ms: u64,
    loss_percent: u64,
    /// Times at which instances restart.
    restarts: Vec<(u64, usize)>,
    /// Times at which that many upstreams end at once.
    herds: Vec<(u64, usize)>,
    /// Begin and end of a cut.
    cut: Option<(u64, u64)>,
}

fn plan(bad_keys: std::ops::Range<u64>) -> impl Strategy<Value = Plan> {
    let restarts = prop::collection::vec((0..8_000_u64, 0..INSTANCES), 0..4);
    let herds = prop::collection::vec((0..9_000_u64, 1..4_usize), 0..4);
    let cut = prop::option::of((0..3_000_u64, 1..4_000_u64));
    (any::<u64>(), bad_keys, 100..800_u64, 1..150_u64, 0..30_u64, restarts, herds, cut).prop_map(
        |(seed, bad_keys, bad_interval_ms, delay_ms, loss_percent, restarts, herds, cut)| Plan {
            seed,
            bad_keys,
            bad_interval_ms,
            delay_ms,
            loss_percent,
            restarts,
            herds,
            cut: cut.map(|(start, duration)| (start, start + duration)),
        },
    )
}

struct Upstream {
    run: Run,
    back_at: Option<Instant>,
}

/// Request at an upstream.
struct Running {
    upstream: usize,
    instance: usize,
    key: Key,
    ends_at: Instant,
}

/// What an instance will learn.
enum Message {
    Records(Vec<Record>),
    Crash { run: Run, at: Instant, keys: Vec<Key> },
}

struct Model {
    plan: Plan,
    random: u64,
    start: Instant,
    now: Instant,
    instances: Vec<Suspects>,
    upstreams: Vec<Upstream>,
    running: Vec<Running>,
    messages: Vec<(Instant, usize, Message)>,
    /// Requests that crash upstreams as they reached one.
    arrivals: Vec<(Key, Instant)>,
    /// Ends of upstreams by their cause.
    ends: Vec<(Key, Instant)>,
    /// Sound requests, and whether they were refused.
    sound: Vec<(Instant, bool)>,
}

impl Model {
    fn new(plan: Plan) -> Self {
        let start = Instant::now();
        let upstream =
            |index| Upstream { run: Run { upstream: index as u32, born: 1 }, back_at: None };
        Self {
            random: plan.seed | 1,
            plan,
            start,
            now: start,
            instances: vec![Suspects::default(); INSTANCES],
            upstreams: (0..UPSTREAMS).map(upstream).collect(),
            running: Vec::new(),
            messages: Vec::new(),
            arrivals: Vec::new(),
            ends: Vec::new(),
            sound: Vec::new(),
        }
    }

    fn draw(&mut self, limit: usize) -> usize {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 33) as usize % limit
    }

    fn millis(&self) -> u64 {
        (self.now - self.start).as_millis() as u64
    }

    /// Returns whether this tick is one of those that come each `interval_ms`.
    fn is_due(&self, interval_ms: u64) -> bool {
        let tick_ms = TICK.as_millis() as u64;
        self.millis() / interval_ms != (self.millis() + tick_ms) / interval_ms
    }

    fn is_now(&self, at_ms: u64) -> bool {
        (self.millis()..self.millis() + TICK.as_millis() as u64).contains(&at_ms)
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let is_between = CUT_OFF.contains(&from) != CUT_OFF.contains(&to);
        let cut = self.plan.cut.is_some_and(|(start, end)| (start..end).contains(&self.millis()));
        is_between && cut
    }

    fn run(&mut self) {
        while self.now < self.start + DURATION {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        let now = self.now;
        for upstream in &mut self.upstreams {
            if upstream.back_at.is_some_and(|at| at <= now) {
                upstream.back_at = None;
                upstream.run.born += 1;
            }
        }
        let due: Vec<_> = self.messages.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, instance, message) in due {
            let suspects = &mut self.instances[instance];
            match message {
                Message::Records(records) => {
                    for record in &records {
                        suspects.merge(now, record);
                    }
                }
                Message::Crash { run, at, keys } => {
                    suspects.record_crash(now, run, at, &keys);
                }
            }
        }
        self.finish_requests();
        for (at, count) in self.plan.herds.clone() {
            if self.is_now(at) {
                (0..count).for_each(|_| self.end_any());
            }
        }
        for (at, instance) in self.plan.restarts.clone() {
            if self.is_now(at) {
                self.restart(instance);
            }
        }
        let instance = self.draw(INSTANCES);
        self.request(instance, HOT);
        let other = Key(2 + self.draw(50) as u64);
        let instance = self.draw(INSTANCES);
        self.request(instance, other);
        if self.plan.bad_keys > 0 && self.is_due(self.plan.bad_interval_ms) {
            let key = Key(FIRST_BAD + self.draw(self.plan.bad_keys as usize) as u64);
            let instance = self.draw(INSTANCES);
            self.request(instance, key);
        }
        if self.is_due(50) {
            self.send_updates();
        }
        if self.is_due(500) {
            let (from, to) = (self.draw(INSTANCES), self.draw(INSTANCES));
            self.compare(from, to);
        }
    }

    /// Sends a request to any upstream that listens, unless it is refused.
    fn request(&mut self, instance: usize, key: Key) {
        let now = self.now;
        let is_bad = key.0 >= FIRST_BAD;
        let admission = self.instances[instance].check(now, &[key], |_| instance == 0);
        let is_refused = matches!(admission, Admission::Refuse { .. });
        if !is_bad {
            self.sound.push((now, is_refused));
        }
        let listening: Vec<usize> =
            (0..UPSTREAMS).filter(|index| self.upstreams[*index].back_at.is_none()).collect();
        if is_refused || listening.is_empty() {
            return;
        }
        if admission == Admission::Try {
            self.instances[instance].record_trial(now, &[key]);
        }
        if is_bad {
            self.arrivals.push((key, now));
        }
        let upstream = listening[self.draw(listening.len())];
        let duration = if is_bad { BAD_RUN_DURATION } else { RUN_DURATION };
        self.running.push(Running { upstream, instance, key, ends_at: now + duration });
    }

    fn finish_requests(&mut self) {
        loop {
            let now = self.now;
            let Some(index) = self.running.iter().position(|running| running.ends_at <= now) else {
                return;
            };
            let running = &self.running[index];
            if running.key.0 >= FIRST_BAD {
                self.ends.push((running.key, now));
                self.end(running.upstream);
            } else {
                let running = self.running.swap_remove(index);
                self.instances[running.instance].record_sound(now, &[running.key]);
            }
        }
    }

    fn end_any(&mut self) {
        let upstream = self.draw(UPSTREAMS);
        if self.upstreams[upstream].back_at.is_none() {
            self.end(upstream);
        }
    }

    /// Ends an upstream; each instance learns of it for the requests that it had there.
    fn end(&mut self, upstream: usize) {
        let now = self.now;
        self.upstreams[upstream].back_at = Some(now + RESTART_DELAY);
        let run = self.upstreams[upstream].run;
        let lost: Vec<Running> =
            self.running.extract_if(.., |running| running.upstream == upstream).collect();
        for instance in 0..INSTANCES {
            let own = lost.iter().filter(|running| running.instance == instance);
            let mut keys: Vec<Key> = own.map(|running| running.key).collect();
            keys.sort();
            keys.dedup();
            if !keys.is_empty() {
                let message = Message::Crash { run, at: now, keys };
                self.messages.push((now + CHECK_DELAY, instance, message));
            }
        }
    }

    fn restart(&mut self, instance: usize) {
        self.instances[instance] = Suspects::default();
        self.messages.retain(|(_, to, _)| *to != instance);
        self.running.retain(|running| running.instance != instance);
        // An instance that starts asks all others that it reaches.
        for other in 0..INSTANCES {
            self.compare(other, instance);
        }
    }

    fn send_updates(&mut self) {
        for from in 0..INSTANCES {
            let records = self.instances[from].take_updates(self.now, 100);
            for to in 0..INSTANCES {
                let is_lost = self.draw(100) < self.plan.loss_percent as usize;
                if !records.is_empty() && from != to && !is_lost && !self.is_cut(from, to) {
                    self.deliver(to, records.clone());
                }
            }
        }
    }

    fn deliver(&mut self, to: usize, records: Vec<Record>) {
        let delay = Duration::from_millis(self.draw(self.plan.delay_ms as usize) as u64);
        self.messages.push((self.now + delay, to, Message::Records(records)));
    }

    /// Exchanges all that two instances know if it differs.
    fn compare(&mut self, from: usize, to: usize) {
        let is_equal = self.instances[from].digest() == self.instances[to].digest();
        if !is_equal && !self.is_cut(from, to) {
            for (from, to) in [(from, to), (to, from)] {
                let records = self.instances[from].records(self.now);
                self.deliver(to, records);
            }
        }
    }

    /// Returns the time from which all instances have to know `key`, if it ended three upstreams.
    fn known_at(&self, key: Key) -> Option<Instant> {
        let ends = self.ends.iter().filter(|(other, _)| *other == key).map(|(_, at)| *at);
        let third = ends.skip(CRASHES - 1).min()?;
        let millis = |millis| self.start + Duration::from_millis(millis);
        let healed = self.plan.cut.map_or(self.start, |(_, end)| millis(end));
        let restarts = self.plan.restarts.iter().map(|(at, _)| millis(*at));
        let calm = restarts.max().unwrap_or(self.start).max(healed);
        Some(third.max(calm) + CONTACT)
    }

    fn later_arrivals(&self, key: Key) -> usize {
        let Some(known) = self.known_at(key) else {
            return 0;
        };
        self.arrivals.iter().filter(|(other, at)| *other == key && *at > known).count()
    }

    /// Returns the numbers of sound requests since `start`, and of those that were refused.
    fn sound_since(&self, start: Instant) -> (usize, usize) {
        let chosen = self.sound.iter().filter(|(at, _)| *at > start);
        (chosen.clone().count(), chosen.filter(|(_, is_refused)| *is_refused).count())
    }
}

/// Number of crashes of invented requests, far more than an instance can remember.
const INVENTED: u64 = 20_000;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against requests that go on to end upstreams at instances that do not learn of them.
    #[test]
    fn a_request_that_ended_three_upstreams_reaches_few_later_ones(plan in plan(1..3)) {
        let mut model = Model::new(plan);
        model.run();
        for number in 0..model.plan.bad_keys {
            let key = Key(FIRST_BAD + number);
            let later = model.later_arrivals(key);
            prop_assert!(later <= MAX_LATER_REQUESTS, "{} later arrivals", later);
        }
    }

    /// Guards against sound requests that are refused beside those that crash upstreams.
    #[test]
    fn sound_requests_go_on_beside_those_that_crash_upstreams(plan in plan(1..3)) {
        let mut model = Model::new(plan);
        model.run();
        let (sent, refused) = model.sound_since(model.start);
        prop_assert!(2 * refused <= sent, "{} of {} sound requests were refused", refused, sent);
        let last = model.ends.iter().map(|(_, at)| *at).max().unwrap_or(model.start);
        let known = (0..model.plan.bad_keys).filter_map(|key| model.known_at(Key(FIRST_BAD + key)));
        let known = known.max().unwrap_or(last + CONTACT) + CONTACT;
        let (sent, refused) = model.sound_since(known);
        prop_assert!(2 * refused <= sent, "{} of {} later ones were refused", refused, sent);
    }

    /// Guards against a hot request that stays refused after many upstreams have ended at once.
    #[test]
    fn crashes_of_many_upstreams_leave_no_request_refused(plan in plan(0..1)) {
        let mut model = Model::new(plan);
        model.run();
        let (sent, refused) = model.sound_since(model.start);
        prop_assert!(2 * refused <= sent, "{} of {} sound requests were refused", refused, sent);
        for instance in &model.instances {
            prop_assert_eq!(instance.check(model.now, &[HOT], |_| false), Admission::Accept);
        }
    }
}

/// Guards against callers that invent requests without end to fill the memory or hide one of them.
#[test]
fn invented_requests_neither_grow_the_state_nor_hide_a_known_one() {
    let mut now = Instant::now();
    let mut suspects = Suspects::default();
    let bad = Key(FIRST_BAD);
    for upstream in 0..CRASHES as u32 {
        suspects.record_crash(now, Run { upstream, born: 1 }, now, &[bad]);
    }
    let mut most = 0;
    for number in 0..INVENTED {
        now += Duration::from_millis(1);
        let run = Run { upstream: 100 + (number % 8) as u32, born: number };
        suspects.record_crash(now, run, now, &[Key(FIRST_BAD + 1 + number)]);
        suspects.record_sound(now, &[Key(FIRST_BAD + 2 * INVENTED + number)]);
        if number == INVENTED / 2 {
            most = suspects.records(now).len();
        }
    }
    assert!(suspects.records(now).len() <= most);
    assert!(matches!(suspects.check(now, &[bad], |_| false), Admission::Refuse { .. }));
    now += Duration::from_secs(2 * 24 * 3600);
    suspects.expire(now);
    assert!(suspects.records(now).is_empty());
}
