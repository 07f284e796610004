//! Calls that crash plain services, on the product's own interface.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use standin::Fault;
use support::crashes::{CONTACT, CrashCounter, MAX_LATER_REQUESTS, Sample, assert_share, served};
use support::worker::{HttpResponse, send_request};
use support::{API_KEY, Fleet, Plan, set_fault, wait_for};
use test_case::test_case;

const SERVICES: usize = 6;
const SOUND_CALLERS: usize = 6;

/// Fault of services that crash on one call in fifty.
const FAULT: &str = "crash:20";

/// Number of crashes after which the fleet has to know the cause.
const CRASHES: u64 = 3;

/// Time that the calls go on after the cause has to be known.
const AFTERMATH: Duration = Duration::from_secs(5);

/// Interval between two calls that crash services, and between the calls of a sound caller.
const BAD_INTERVAL: Duration = Duration::from_millis(150);
const SOUND_INTERVAL: Duration = Duration::from_millis(20);

/// Time within which a call is refused that is not sent to a service.
const REFUSAL_DURATION: Duration = Duration::from_secs(1);

/// Kind of call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Call {
    Read,
    Booking,
    /// A booking with an idempotency key, which is new each time.
    KeyedBooking,
}

impl Call {
    /// Returns the path at the service and the body of the call `number`.
    fn text(self, number: usize) -> (String, String) {
        match self {
            Self::Read => (format!("/menu/{number}?size=2"), String::new()),
            _ => ("/bookings".to_string(), format!("{{\"family\":\"{number}\"}}")),
        }
    }

    /// Returns a number of a call from `first` on that crashes services, or of one that does not.
    fn number(self, first: usize, is_crash: bool) -> usize {
        let fault: Fault = FAULT.parse().unwrap();
        let is_chosen = |number: &usize| {
            let (path, body) = self.text(*number);
            fault.is_crash(&format!("{path}{body}")) == is_crash
        };
        (first..).find(is_chosen).unwrap()
    }

    fn send(self, entry: SocketAddr, number: usize, key: &str) -> std::io::Result<HttpResponse> {
        let (path, body) = self.text(number);
        let token = format!("Bearer {API_KEY}");
        let mut headers = vec![("authorization", token.as_str())];
        headers.push(("x-turmericrelay-deadline", "3s"));
        if self == Self::KeyedBooking {
            headers.push(("idempotency-key", key));
        }
        let method = if self == Self::Read { "GET" } else { "POST" };
        send_request(entry, method, &format!("/services/shop{path}"), &headers, &body)
    }

    /// Counts the runs of the call `number` in the journal of the services.
    fn runs(self, journal: &Path, number: usize) -> usize {
        let journal = std::fs::read_to_string(journal).unwrap_or_default();
        let runs = journal.lines().filter_map(|line| serde_json::from_str(line).ok());
        let (path, body) = self.text(number);
        runs.filter(|run: &standin::Run| run.path == path && run.body == body).count()
    }
}

/// What the caller of a call that crashes services got.
#[derive(Debug, Clone)]
struct Outcome {
    sent_at: Instant,
    answered_at: Instant,
    status: Option<u16>,
    verdict: Option<String>,
    has_retry_after: bool,
}

/// Calls in progress, which go on until this is dropped.
struct Traffic {
    is_stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    samples: Arc<Mutex<Vec<Sample>>>,
    outcomes: Arc<Mutex<Vec<Outcome>>>,
}

impl Traffic {
    /// Starts sound callers, beside repeats of the call `bad` if there is one.
    fn start(entries: &[SocketAddr], call: Call, bad: Option<usize>) -> Self {
        let mut traffic = Self {
            is_stopped: Arc::default(),
            threads: Vec::new(),
            samples: Arc::default(),
            outcomes: Arc::default(),
        };
        for caller in 0..SOUND_CALLERS {
            let (entries, is_stopped) = (entries.to_vec(), traffic.is_stopped.clone());
            let samples = traffic.samples.clone();
            traffic.threads.push(std::thread::spawn(move || {
                let mut number = 1_000_000 * (caller + 1);
                while !is_stopped.load(Ordering::Relaxed) {
                    number = call.number(number + 1, false);
                    let sent_at = Instant::now();
                    let key = format!("sound-{number}-{sent_at:?}");
                    let key: String = key.chars().filter(char::is_ascii_alphanumeric).collect();
                    let answer = call.send(entries[number % entries.len()], number, &key);
                    let is_served = answer.is_ok_and(|answer| answer.status == 200);
                    samples.lock().unwrap().push(Sample { sent_at, is_served });
                    std::thread::sleep(SOUND_INTERVAL);
                }
            }));
        }
        if let Some(bad) = bad {
            traffic.start_bad_caller(entries.to_vec(), call, bad);
        }
        traffic
    }

    fn start_bad_caller(&mut self, entries: Vec<SocketAddr>, call: Call, bad: usize) {
        let (is_stopped, outcomes) = (self.is_stopped.clone(), self.outcomes.clone());
        self.threads.push(std::thread::spawn(move || {
            for repeat in 0.. {
                if is_stopped.load(Ordering::Relaxed) {
                    return;
                }
                let (entry, outcomes) = (entries[repeat % entries.len()], outcomes.clone());
                std::thread::spawn(move || {
                    let sent_at = Instant::now();
                    let answer = call.send(entry, bad, &format!("bad-{repeat}")).ok();
                    let header =
                        |name| answer.as_ref().and_then(|answer| answer.headers.get(name).cloned());
                    outcomes.lock().unwrap().push(Outcome {
                        sent_at,
                        answered_at: Instant::now(),
                        status: answer.as_ref().map(|answer| answer.status),
                        verdict: header("x-turmericrelay-verdict"),
                        has_retry_after: header("retry-after").is_some(),
                    });
                });
                std::thread::sleep(BAD_INTERVAL);
            }
        }));
    }

    /// Returns the share of the sound calls sent from `start` to `end` that were served, and their
    /// number.
    fn served(&self, start: Instant, end: Instant) -> (f64, usize) {
        served(&self.samples.lock().unwrap(), start, end)
    }

    /// Stops all calls.
    fn stop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Drop for Traffic {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Asserts that callers learn whether their calls may have run, and at once if they were not sent
/// once the fleet has to know the cause.
fn assert_answers_are_true(outcomes: &[Outcome], call: Call, runs: usize, known: Instant) {
    let is_not_run =
        |outcome: &&Outcome| outcome.verdict.as_ref().is_some_and(|verdict| verdict == "not-run");
    let refused: Vec<&Outcome> =
        outcomes.iter().filter(is_not_run).filter(|outcome| outcome.sent_at > known).collect();
    assert!(!refused.is_empty(), "no call was refused of {}", outcomes.len());
    for outcome in refused {
        let took = outcome.answered_at - outcome.sent_at;
        assert!(outcome.status == Some(503) && outcome.has_retry_after, "{outcome:?}");
        assert!(took < REFUSAL_DURATION, "{took:?} {outcome:?}");
    }
    let may_have_run = outcomes.iter().filter(|outcome| !is_not_run(outcome)).count();
    assert!(call == Call::Read || runs <= may_have_run, "{runs} ran, {may_have_run} told so");
}

/// Guards against a call that ends one service after the other.
#[test_case(Call::Read; "read")]
#[test_case(Call::Booking; "booking")]
#[test_case(Call::KeyedBooking; "booking with a key")]
fn a_call_that_crashes_services_is_not_sent_to_further_ones(call: Call) {
    let mut fleet = Fleet::start_plan(Plan::new(&["giza", "giza", "giza"]).with_voters(3));
    let journal = fleet.journal();
    let file = journal.display().to_string();
    let flags = ["--label", "app=shop", "--word-interval", "50ms", "--journal", &file];
    let services: Vec<SocketAddr> = (1..=SERVICES)
        .map(|number| fleet.add_upstream(&format!("shop-{number}"), "giza", &flags))
        .collect();
    fleet.wait_for_quorum();
    services.iter().for_each(|service| set_fault(*service, FAULT));
    let entries: Vec<SocketAddr> =
        fleet.instances.iter().map(|instance| instance.addresses.callers).collect();
    let traffic = Traffic::start(&entries, call, None);
    let start = Instant::now();
    std::thread::sleep(Duration::from_millis(2500));
    let calm = traffic.served(start, start + Duration::from_secs(2));
    drop(traffic);

    let bad = call.number(0, true);
    let mut traffic = Traffic::start(&entries, call, Some(bad));
    let mut counter = CrashCounter::new(services);
    wait_for("the first crash", || (counter.crashes() > 0).then_some(()));
    let deadline = Instant::now() + Duration::from_secs(8);
    while counter.crashes() < CRASHES && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(50));
    }
    std::thread::sleep(CONTACT);
    let known = Instant::now();
    let runs_before = call.runs(&journal, bad);
    std::thread::sleep(AFTERMATH);
    let runs = call.runs(&journal, bad);
    let later = runs - runs_before;
    let share = traffic.served(known, Instant::now() - Duration::from_secs(1));
    traffic.stop();
    let crashes = counter.settled();
    assert!(later <= MAX_LATER_REQUESTS, "{later} runs after {runs_before}, {crashes} crashes");
    // Calls in progress end within their deadlines.
    std::thread::sleep(Duration::from_secs(3));
    assert_answers_are_true(&traffic.outcomes.lock().unwrap(), call, runs, known);
    assert_share(share, calm, "all callers");
}
