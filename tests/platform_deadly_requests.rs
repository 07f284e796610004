//! End-to-end tests of requests that crash the upstreams of services without engines: the fleet
//! stops sending such a request, and goes on with all others.

#![allow(clippy::unwrap_used)]

mod support;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use support::crashes::{
    CONTACT, Herd, MAX_LATER_REQUESTS, RESTART_DELAY, Return, Sample, assert_none_quarantined,
    assert_share, callers, served, start_machines, wait_until_served,
};
use support::machines::{KEY, Machine, Machines, document};
use support::script::{End, Script, ScriptedRequest};
use support::worker::{ExecutedRequest, HttpResponse, Worker, send_request};
use support::{Proxy, wait_for};
use test_case::test_case;

const UPSTREAMS: usize = 8;
const SOUND_CALLERS: usize = 8;

/// Number of ends of upstreams after which the fleet has to know the cause.
const CRASHES: usize = 3;

/// Time that the requests go on after the cause has to be known.
const AFTERMATH: Duration = Duration::from_millis(6000);

/// Interval between two requests that crash upstreams.
const BAD_INTERVAL: Duration = Duration::from_millis(150);

/// Time between the answer to a sound caller and its next request.
const SOUND_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which an upstream runs a request, and one that it crashes on.
const RUN_DURATION: Duration = Duration::from_millis(60);
const BAD_RUN_DURATION: Duration = Duration::from_millis(80);

/// Time within which a request is refused that is not sent to an upstream.
const REFUSAL_DURATION: Duration = Duration::from_secs(1);

static NEXT_BAD: AtomicUsize = AtomicUsize::new(1);

/// API key of a client account whose requests crash no upstreams.
const OTHER_KEY: &str = "key-of-the-neighbours";

/// A request that comes again and again, each time with another id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Repeat {
    method: &'static str,
    path: &'static str,
    body: &'static str,
}

const READ: Repeat = Repeat { method: "GET", path: "/albums/7/photos?size=2", body: "" };
const OTHER_READ: Repeat = Repeat { method: "GET", path: "/albums/7/photos?size=3", body: "" };
const BOOKING: Repeat = Repeat { method: "POST", path: "/bookings/7?seats=2", body: "the body" };
const OTHER_BOOKING: Repeat = Repeat { body: "another body", ..BOOKING };

impl Repeat {
    fn is_unsafe(&self) -> bool {
        self.method == "POST"
    }

    fn send(&self, entry: SocketAddr, key: &str, id: &str) -> std::io::Result<HttpResponse> {
        let key = format!("Token {key}");
        let headers =
            [("Request-Id", id), ("Authorization", key.as_str()), ("Deadline-Remaining", "5000")];
        send_request(entry, self.method, self.path, &headers, self.body)
    }

    /// Returns whether an upstream crashes on a request of `tenant`.
    fn is_bad(&self, tenant: Option<&String>, path: &str, body: &[u8]) -> bool {
        tenant.is_some_and(|name| name == "family")
            && path == self.path
            && body == self.body.as_bytes()
    }

    fn is_request(&self, run: &ExecutedRequest) -> bool {
        self.is_bad(run.headers.get("tenant"), &run.path, &run.body)
    }
}

/// Bytes of an answer that an upstream has sent when it crashes.
#[derive(Debug, Clone, Copy)]
enum Sent {
    Nothing,
    HeadPart,
    Head,
}

impl Sent {
    fn text(self) -> &'static str {
        match self {
            Self::Nothing => "",
            Self::HeadPart => "HTTP/1.1 200 OK\r\nrequest-id: ID\r\ncont",
            Self::Head => {
                "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nserver-stamp: s\r\ncontent-length: 4\r\n\r\n"
            }
        }
    }
}

/// How upstreams crash and return.
#[derive(Debug, Clone, Copy)]
struct Crash {
    sent: Sent,
    end: End,
    returns: Return,
}

const CRASH: Crash = Crash { sent: Sent::Nothing, end: End::Crash, returns: Return::NewName };

/// Starts upstreams of the service without engines, which crash on each of `bad`.
fn start_upstreams(
    machines: &Machines,
    count: usize,
    bad: &'static [Repeat],
    crash: Crash,
) -> Herd {
    let answer = move |request: &ScriptedRequest<'_>| {
        let tenant = request.headers.get("tenant");
        let is_bad = bad.iter().any(|bad| bad.is_bad(tenant, request.path, request.body));
        std::thread::sleep(if is_bad { BAD_RUN_DURATION } else { RUN_DURATION });
        is_bad.then(|| Script::new(crash.sent.text(), crash.end))
    };
    let setup = move |worker: &Worker| worker.set_script(answer);
    let herd = Herd::start(&machines.seeds(), "shop", count, crash.returns, setup);
    wait_until_served(machines, count);
    herd
}

/// Returns the document 7 with a second client account.
fn document_of_two() -> Value {
    let mut document = document(7);
    let neighbours = json!({ "name": "neighbours", "api-keys": [OTHER_KEY] });
    document["tenants"].as_array_mut().unwrap().push(neighbours);
    document
}

/// Returns the requests that reached upstreams, in order.
fn received(upstreams: &Herd) -> Vec<ExecutedRequest> {
    let workers = upstreams.workers.lock().unwrap();
    let mut requests: Vec<_> = workers.iter().flat_map(Worker::received_requests).collect();
    requests.sort_by_key(|request| request.at);
    requests
}

/// Returns the identifiers of the requests that upstreams executed.
fn executed(upstreams: &Herd) -> BTreeSet<String> {
    let workers = upstreams.workers.lock().unwrap();
    workers.iter().flat_map(Worker::executed_requests).map(|run| run.request).collect()
}

/// Returns the times at which `bad` ended upstreams, in order. Of several bad requests at one
/// upstream, the first one ends it.
fn ends(upstreams: &Herd, all: &[Repeat], bad: Repeat) -> Vec<Instant> {
    let workers = upstreams.workers.lock().unwrap();
    let is_end = |worker: &&Worker| {
        let runs = worker.executed_requests();
        let first = runs.iter().find(|run| all.iter().any(|bad| bad.is_request(run)));
        first.is_some_and(|run| bad.is_request(run))
    };
    let mut times: Vec<Instant> =
        workers.iter().filter(is_end).filter_map(Worker::crashed_at).collect();
    times.sort();
    times
}

/// What the caller of a request that crashes upstreams got.
#[derive(Debug, Clone)]
struct Outcome {
    id: String,
    is_unsafe: bool,
    sent_at: Instant,
    answered_at: Instant,
    status: Option<u16>,
    /// Whether an answer began that looks incomplete.
    is_cut: bool,
    has_retry_after: bool,
}

/// Sends `bad` to `entry` and returns what its caller got.
fn send_bad(bad: Repeat, entry: SocketAddr, id: String) -> Outcome {
    let sent_at = Instant::now();
    let answer = bad.send(entry, KEY, &id).ok();
    Outcome {
        id,
        is_unsafe: bad.is_unsafe(),
        sent_at,
        answered_at: Instant::now(),
        status: answer.as_ref().map(|answer| answer.status),
        is_cut: answer.as_ref().is_some_and(|answer| !answer.is_complete),
        has_retry_after: answer.is_some_and(|answer| answer.headers.contains_key("retry-after")),
    }
}

/// How requests that crash upstreams are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pace {
    /// At this interval, whatever the answers.
    Each(Duration),
    /// By one caller that sends the next one this long after the answer.
    After(Duration),
}

/// Samples of sound requests.
type Samples = Arc<Mutex<Vec<Sample>>>;

/// Requests in progress, which go on until this is dropped.
struct Traffic {
    is_stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    /// Requests of another caller that are otherwise equal to those that crash upstreams.
    others: Samples,
    /// Requests of the same caller that differ in their path or body.
    own: Samples,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
}

impl Traffic {
    /// Starts sound callers beside `repeats`, of which one at a time is sent in turn if `pace` is
    /// given.
    fn start(entries: &[SocketAddr], repeats: &'static [Repeat], pace: Option<Pace>) -> Self {
        let mut traffic = Self {
            is_stopped: Arc::default(),
            threads: Vec::new(),
            others: Arc::default(),
            own: Arc::default(),
            outcomes: Arc::default(),
        };
        for caller in 0..SOUND_CALLERS {
            traffic.start_sound_caller(entries.to_vec(), repeats[caller % repeats.len()], caller);
        }
        if let Some(pace) = pace {
            traffic.start_bad_caller(entries.to_vec(), repeats, pace);
        }
        traffic
    }

    fn start_sound_caller(&mut self, entries: Vec<SocketAddr>, repeat: Repeat, caller: usize) {
        let is_other = caller < SOUND_CALLERS / 2;
        let samples = if is_other { self.others.clone() } else { self.own.clone() };
        let is_stopped = self.is_stopped.clone();
        self.threads.push(std::thread::spawn(move || {
            for number in 0.. {
                if is_stopped.load(Ordering::Relaxed) {
                    return;
                }
                let id = format!("sound-{caller}-{number}");
                let key = if is_other { OTHER_KEY } else { KEY };
                let request = match (is_other, number % 2 == 0 && repeat.is_unsafe()) {
                    (true, _) => repeat,
                    (false, true) => Repeat { body: "a sound body", ..repeat },
                    (false, false) => Repeat { path: sound_path(repeat), ..repeat },
                };
                let sent_at = Instant::now();
                let entry = entries[(caller + number) % entries.len()];
                let answer = request.send(entry, key, &id);
                let is_served = answer.is_ok_and(|answer| answer.status == 200);
                samples.lock().unwrap().push(Sample { sent_at, is_served });
                std::thread::sleep(SOUND_INTERVAL);
            }
        }));
    }

    fn start_bad_caller(
        &mut self,
        entries: Vec<SocketAddr>,
        repeats: &'static [Repeat],
        pace: Pace,
    ) {
        let (is_stopped, outcomes) = (self.is_stopped.clone(), self.outcomes.clone());
        self.threads.push(std::thread::spawn(move || {
            for number in 0.. {
                if is_stopped.load(Ordering::Relaxed) {
                    return;
                }
                let bad = repeats[number % repeats.len()];
                // Each of several bad requests comes to all instances.
                let entry = entries[(number / repeats.len()) % entries.len()];
                let id = format!("bad-{}", NEXT_BAD.fetch_add(1, Ordering::Relaxed));
                let outcomes = outcomes.clone();
                let send = move || {
                    let outcome = send_bad(bad, entry, id);
                    outcomes.lock().unwrap().push(outcome);
                };
                match pace {
                    Pace::Each(interval) => {
                        std::thread::spawn(send);
                        std::thread::sleep(interval);
                    }
                    Pace::After(pause) => {
                        send();
                        std::thread::sleep(pause);
                    }
                }
            }
        }));
    }

    /// Returns the shares of the sound requests of other callers and of the same caller sent from
    /// `start` to `end` that were served.
    fn served(&self, start: Instant, end: Instant) -> Shares {
        Shares {
            others: served(&self.others.lock().unwrap(), start, end),
            own: served(&self.own.lock().unwrap(), start, end),
        }
    }

    fn outcomes(&self) -> Vec<Outcome> {
        self.outcomes.lock().unwrap().clone()
    }
}

impl Drop for Traffic {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Returns a path of the same route as that of `repeat`.
fn sound_path(repeat: Repeat) -> &'static str {
    if repeat.is_unsafe() { "/bookings/8?seats=2" } else { "/albums/8/photos?size=2" }
}

/// Shares of sound requests that were served, and their numbers.
#[derive(Debug, Clone, Copy)]
struct Shares {
    others: (f64, usize),
    own: (f64, usize),
}

/// Returns the shares of the sound requests that are served without any other requests.
fn measure_calm(callers: &[SocketAddr], repeats: &'static [Repeat]) -> Shares {
    let traffic = Traffic::start(callers, repeats, None);
    let start = Instant::now();
    std::thread::sleep(Duration::from_millis(1500));
    traffic.served(start, start + Duration::from_secs(1))
}

/// Waits for the first end of an upstream, and then until the requests have gone on for long enough.
/// Returns the time from which the cause has to be known.
fn wait_for_aftermath(upstreams: &Herd, all: &[Repeat]) -> Instant {
    let first = wait_for("the first crash", || upstreams.crashes().first().copied());
    let deadline = first + Duration::from_secs(20);
    let known = loop {
        let ends: Vec<_> = all.iter().map(|bad| ends(upstreams, all, *bad)).collect();
        let thirds = ends.iter().map(|ends| ends.get(CRASHES - 1));
        let last = upstreams.crashes().last().copied().unwrap_or(first);
        match thirds.collect::<Option<Vec<_>>>() {
            Some(thirds) => break **thirds.iter().max().unwrap() + CONTACT,
            None if last.elapsed() > CONTACT || Instant::now() > deadline => break last + CONTACT,
            None => std::thread::sleep(Duration::from_millis(20)),
        }
    };
    std::thread::sleep((known + CONTACT + AFTERMATH).saturating_duration_since(Instant::now()));
    known
}

/// Asserts that `bad` no longer reaches upstreams once the fleet has to know it.
fn assert_contained(upstreams: &Herd, all: &[Repeat], bad: Repeat, since: Option<Instant>) {
    let ends = ends(upstreams, all, bad);
    let arrivals: Vec<Instant> =
        received(upstreams).iter().filter(|run| bad.is_request(run)).map(|run| run.at).collect();
    if let Some(third) = ends.get(CRASHES - 1) {
        let known = since.map_or(*third, |since| since.max(*third)) + CONTACT;
        let later = arrivals.iter().filter(|at| **at > known).count();
        assert!(
            later <= MAX_LATER_REQUESTS,
            "{bad:?} reached upstreams {later} times later than {CONTACT:?} after the third end; \
             {} times in all, {} upstreams ended by it",
            arrivals.len(),
            ends.len()
        );
    }
}

/// Asserts that callers learn whether their requests may have run, and at once if they were not
/// sent once the fleet has to know the cause.
fn assert_answers_are_true(upstreams: &Herd, traffic: &Traffic, known: Instant) {
    let executed = executed(upstreams);
    let outcomes = traffic.outcomes();
    let mut refused = 0;
    for outcome in &outcomes {
        let has_run = executed.contains(&outcome.id);
        let is_failure = outcome.status == Some(502) || outcome.is_cut;
        assert!(!has_run || outcome.status != Some(503), "ran and was refused: {outcome:?}");
        assert!(!has_run || !outcome.is_unsafe || is_failure, "{outcome:?}");
        if !has_run && outcome.sent_at > known {
            let took = outcome.answered_at - outcome.sent_at;
            assert!(outcome.status == Some(503) && outcome.has_retry_after, "{outcome:?}");
            assert!(took < REFUSAL_DURATION, "{took:?} {outcome:?}");
            refused += 1;
        }
    }
    assert!(refused > 0, "no request was refused of {}", outcomes.len());
}

/// Asserts that sound requests are served at least half as often as in calm.
fn assert_sound_requests_are_served(traffic: &Traffic, calm: Shares, known: Instant) {
    let shares = traffic.served(known + CONTACT, Instant::now() - Duration::from_secs(1));
    assert_share(shares.others, calm.others, "other callers");
    assert_share(shares.own, calm.own, "the same caller");
}

const BEFORE_HEAD_RESET: Crash =
    Crash { sent: Sent::Nothing, end: End::CrashWithResets, returns: Return::SameName };
const WITHIN_HEAD: Crash =
    Crash { sent: Sent::HeadPart, end: End::Crash, returns: Return::SameName };
const WITHIN_HEAD_RESET: Crash =
    Crash { sent: Sent::HeadPart, end: End::CrashWithResets, returns: Return::NewName };
const AFTER_HEAD: Crash = Crash { sent: Sent::Head, end: End::Crash, returns: Return::SameName };
const AFTER_HEAD_RESET: Crash =
    Crash { sent: Sent::Head, end: End::CrashWithResets, returns: Return::NewName };

/// Guards against a request that ends one upstream after the other.
#[test_case(&[READ], CRASH; "safe before the head")]
#[test_case(&[READ], WITHIN_HEAD_RESET; "safe within the head")]
#[test_case(&[READ], AFTER_HEAD; "safe after the head")]
#[test_case(&[BOOKING], BEFORE_HEAD_RESET; "unsafe before the head")]
#[test_case(&[BOOKING], WITHIN_HEAD; "unsafe within the head")]
#[test_case(&[BOOKING], AFTER_HEAD_RESET; "unsafe after the head")]
#[test_case(&[READ, OTHER_READ], CRASH; "two safe ones")]
#[test_case(&[BOOKING, OTHER_BOOKING], CRASH; "two unsafe ones")]
fn a_plain_request_that_crashes_upstreams_is_not_sent_to_further_ones(
    bad: &'static [Repeat],
    crash: Crash,
) {
    let machines = start_machines(&document_of_two(), |_| {});
    let upstreams = start_upstreams(&machines, UPSTREAMS, bad, crash);
    let callers = callers(&machines);
    let calm = measure_calm(&callers, bad);
    let traffic = Traffic::start(&callers, bad, Some(Pace::Each(BAD_INTERVAL)));
    let known = wait_for_aftermath(&upstreams, bad);
    for repeat in bad {
        assert_contained(&upstreams, bad, *repeat, None);
    }
    assert_answers_are_true(&upstreams, &traffic, known);
    assert_sound_requests_are_served(&traffic, calm, known);
}

/// Guards against one caller that takes away all upstreams of a small service.
#[test_case(&[READ]; "safe")]
#[test_case(&[BOOKING]; "unsafe")]
fn a_plain_request_that_crashes_upstreams_does_not_end_a_service_of_three(bad: &'static [Repeat]) {
    let machines = start_machines(&document_of_two(), |_| {});
    let upstreams = start_upstreams(&machines, 3, bad, CRASH);
    let callers = callers(&machines);
    let calm = measure_calm(&callers, bad);
    let pace = Pace::After(Duration::from_millis(400));
    let traffic = Traffic::start(&callers, bad, Some(pace));
    let known = wait_for_aftermath(&upstreams, bad);
    let crashes = upstreams.crashes();
    for ends in crashes.windows(3) {
        let between = ends[2] - ends[0];
        assert!(between > RESTART_DELAY, "all three upstreams ended within {between:?}");
    }
    assert_contained(&upstreams, bad, bad[0], None);
    assert_answers_are_true(&upstreams, &traffic, known);
    assert_sound_requests_are_served(&traffic, calm, known);
}

/// Guards against evidence that is lost with an instance.
#[test_case(&[READ]; "safe")]
#[test_case(&[BOOKING]; "unsafe")]
fn a_plain_request_that_crashes_upstreams_stays_known_when_an_entry_instance_is_killed_between_ends(
    bad: &'static [Repeat],
) {
    let mut machines = start_machines(&document_of_two(), |_| {});
    let upstreams = start_upstreams(&machines, UPSTREAMS, bad, CRASH);
    let callers = callers(&machines);
    let calm = measure_calm(&callers, bad);
    let pace = Pace::Each(Duration::from_millis(500));
    let traffic = Traffic::start(&callers, bad, Some(pace));
    wait_for("the second end", || (upstreams.crashes().len() >= 2).then_some(()));
    std::thread::sleep(Duration::from_millis(100));
    // The second request came to the second instance.
    machines.entries[1].kill();
    std::thread::sleep(Duration::from_millis(300));
    machines.entries[1].start();
    let known = wait_for_aftermath(&upstreams, bad);
    assert_contained(&upstreams, bad, bad[0], None);
    assert_answers_are_true(&upstreams, &traffic, known);
    assert_sound_requests_are_served(&traffic, calm, known);
}

/// Starts the fleet with the peers' ports of the entry instances of one data centre behind proxies.
fn start_machines_with_cut() -> (Machines, Vec<Proxy>) {
    let mut proxies = Vec::new();
    let mut number = 0;
    let machines = start_machines(&document_of_two(), |machine| {
        if number == 5 || number == 8 {
            // The third proxy of an instance is that of its peers' port.
            proxies.push(machine.listen_behind_proxies());
        }
        number += 1;
    });
    (machines, proxies.into_iter().flatten().collect())
}

fn cut_peers(proxies: &[Proxy], is_cut: bool) {
    for proxy in proxies.iter().skip(2).step_by(3) {
        proxy.change(|faults| faults.is_cut = is_cut);
    }
}

/// Guards against a data centre that repeats what the others know, or hides what it knows.
#[test_case(&[READ], &[0, 1, 3, 4]; "safe known to the others")]
#[test_case(&[BOOKING], &[0, 1, 3, 4]; "unsafe known to the others")]
#[test_case(&[READ], &[2, 5]; "safe known to the data centre")]
#[test_case(&[BOOKING], &[2, 5]; "unsafe known to the data centre")]
fn a_data_centre_that_was_cut_off_exchanges_plain_requests_that_crash_upstreams(
    bad: &'static [Repeat],
    aware: &[usize],
) {
    let (machines, proxies) = start_machines_with_cut();
    let upstreams = start_upstreams(&machines, UPSTREAMS, bad, CRASH);
    let all: Vec<SocketAddr> = machines.entries.iter().map(Machine::direct_callers).collect();
    let calm = measure_calm(&all, bad);
    cut_peers(&proxies, true);
    let aware: Vec<SocketAddr> = aware.iter().map(|index| all[*index]).collect();
    let traffic = Traffic::start(&aware, bad, Some(Pace::Each(BAD_INTERVAL)));
    let known = wait_for_aftermath(&upstreams, bad);
    assert_contained(&upstreams, bad, bad[0], None);
    assert_answers_are_true(&upstreams, &traffic, known);
    drop(traffic);
    cut_peers(&proxies, false);
    let returned_at = Instant::now();
    std::thread::sleep(CONTACT);
    let traffic = Traffic::start(&all, bad, Some(Pace::Each(BAD_INTERVAL)));
    std::thread::sleep(AFTERMATH);
    assert_contained(&upstreams, bad, bad[0], Some(returned_at));
    assert_answers_are_true(&upstreams, &traffic, returned_at + CONTACT);
    assert_sound_requests_are_served(&traffic, calm, returned_at);
}

/// Guards against requests that are taken for the cause because they are everywhere.
#[test_case(&[READ]; "safe")]
#[test_case(&[BOOKING]; "unsafe")]
fn crashes_of_many_upstreams_at_once_let_no_plain_request_be_refused(hot: &'static [Repeat]) {
    let machines = start_machines(&document_of_two(), |_| {});
    let upstreams = start_upstreams(&machines, UPSTREAMS, &[], CRASH);
    let callers = callers(&machines);
    let calm = measure_calm(&callers, hot);
    let traffic = Traffic::start(&callers, hot, None);
    let start = Instant::now();
    for _ in 0..4 {
        std::thread::sleep(Duration::from_millis(500));
        let ended = upstreams.crashes().len();
        let workers = upstreams.workers.lock().unwrap();
        let running = workers.iter().filter(|worker| worker.crashed_at().is_none());
        running.take(UPSTREAMS * 2 / 5).for_each(Worker::end);
        drop(workers);
        assert!(upstreams.crashes().len() > ended);
        std::thread::sleep(RESTART_DELAY + Duration::from_millis(500));
    }
    let shares = traffic.served(start, Instant::now() - Duration::from_secs(1));
    assert_share(shares.others, calm.others, "the hot request");
    assert_share(shares.own, calm.own, "other requests");
    assert_none_quarantined(&machines);
}

/// Starts upstreams that close or reset the connection of one request in ten, at any stage of the
/// answer, and go on.
fn start_breaking_upstreams(machines: &Machines) -> Herd {
    let count = Arc::new(AtomicUsize::new(0));
    let setup = move |worker: &Worker| {
        let count = count.clone();
        worker.set_script(move |_| {
            std::thread::sleep(RUN_DURATION);
            let number = count.fetch_add(1, Ordering::Relaxed);
            let sent = [Sent::Nothing, Sent::HeadPart, Sent::Head][number / 10 % 3];
            let end = [End::Close, End::Reset][number / 30 % 2];
            number.is_multiple_of(10).then(|| Script::new(sent.text(), end))
        });
    };
    let herd = Herd::start(&machines.seeds(), "shop", UPSTREAMS, Return::SameName, setup);
    wait_until_served(machines, UPSTREAMS);
    herd
}

/// Guards against broken connections, cuts, drains and restarts that are taken for crashes.
#[test_case(&[READ]; "safe")]
#[test_case(&[BOOKING]; "unsafe")]
fn ordinary_trouble_lets_no_plain_request_be_refused(hot: &'static [Repeat]) {
    let (mut machines, proxies) = start_machines_with_cut();
    let upstreams = start_breaking_upstreams(&machines);
    // Two further upstreams whose links are cut and closed.
    let links: Vec<(Worker, Proxy)> =
        ["i-far-1", "i-far-2"].map(|name| start_behind_proxy(&machines, name)).into();
    let callers: Vec<SocketAddr> = machines.entries.iter().map(Machine::direct_callers).collect();
    let calm = measure_calm(&callers, hot);
    let traffic = Traffic::start(&callers, hot, None);
    let start = Instant::now();
    for round in 0..4 {
        cut_peers(&proxies, round % 2 == 0);
        for (_, proxy) in &links {
            proxy.change(|faults| faults.is_cut = true);
        }
        let workers = upstreams.workers.lock().unwrap();
        let running = workers.iter().filter(|worker| worker.crashed_at().is_none());
        let leaving: Vec<&Worker> = running.take(2).collect();
        leaving.iter().for_each(|worker| assert!(worker.drain()));
        std::thread::sleep(Duration::from_millis(600));
        leaving.iter().for_each(|worker| worker.end());
        drop(workers);
        for (_, proxy) in &links {
            proxy.change(|faults| faults.is_cut = false);
            proxy.change(|faults| faults.truncate_after = 40);
        }
        machines.entries[round].kill();
        std::thread::sleep(Duration::from_millis(400));
        machines.entries[round].start();
        std::thread::sleep(Duration::from_millis(1000));
        for (_, proxy) in &links {
            proxy.change(|faults| faults.truncate_after = 0);
        }
    }
    cut_peers(&proxies, false);
    std::thread::sleep(CONTACT);
    let shares = traffic.served(start, Instant::now() - Duration::from_secs(1));
    assert_share(shares.others, calm.others, "the hot request");
    assert_share(shares.own, calm.own, "other requests");
    assert_none_quarantined(&machines);
}

/// Starts an upstream that entry instances reach through a proxy.
fn start_behind_proxy(machines: &Machines, name: &str) -> (Worker, Proxy) {
    let mut proxy = None;
    let worker = Worker::start_advertising(name, "shop", machines.seeds(), |address| {
        proxy.insert(Proxy::start(address)).address()
    });
    worker.set_script(|_| {
        std::thread::sleep(RUN_DURATION);
        None
    });
    (worker, proxy.unwrap())
}
