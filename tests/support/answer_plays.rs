//! Plays answers of upstreams through a deployment of real processes, on routes of all kinds.

use std::sync::{Arc, Mutex};

use super::machines::{Machines, document};
use super::malformed::Framing;
use super::platform_calls::call;
use super::script::{Arrival, End, Script};
use super::wait_for;
use super::worker::{HttpResponse, Worker, complete_stream};

/// Routes of calls that may be repeated, of calls that may not, of streams that may be resumed, and of
/// other streams.
pub const ROUTES: [&str; 4] = ["albums", "bookings", "captions", "reports"];
pub const ARRIVALS: [Arrival; 3] = [Arrival::AtOnce, Arrival::ByteByByte, Arrival::Split];

/// Two whole events, which are a whole stream as well.
pub const BODY: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// Fields of a sound answer, in which `ID` stands for the id of the request.
pub const FIELDS: &str = "request-id: ID\r\nserver-stamp: s\r\ncontent-type: text/event-stream\r\n";

/// Returns what an upstream does with the connection after an answer with `framing`.
pub fn end_of_answer(framing: Framing) -> End {
    if framing == Framing::UntilClose { End::Close } else { End::KeepOpen }
}

/// One control instance and one entry instance with an upstream for each kind of routes.
pub struct Deployment {
    pub machines: Machines,
    pub workers: Vec<Worker>,
    /// Answer of the upstreams; `None` for sound ones.
    script: Arc<Mutex<Option<Script>>>,
    calls: usize,
}

impl Deployment {
    pub fn start() -> Self {
        let machines = Machines::start(1, 1);
        let start = |name: &str, service: &str| Worker::start(name, service, machines.seeds());
        let workers = vec![start("i-shop-1", "shop"), start("i-engine-1", "engines")];
        machines.put_document_until_acknowledged(&document(7));
        machines.wait_ready(7);
        wait_for("arrival of the upstreams at the entry instance", || {
            (machines.entries[0].events("upstream").len() >= 2).then_some(())
        });
        let script: Arc<Mutex<Option<Script>>> = Arc::default();
        for worker in &workers {
            let script = script.clone();
            worker.set_script(move |_| script.lock().unwrap().clone());
        }
        Self { machines, workers, script, calls: 0 }
    }

    /// Sends requests on `route` until one reaches an upstream, which answers with `script`. Returns
    /// the id of the request and the answer.
    pub fn call(&mut self, route: &str, script: Option<Script>) -> (String, HttpResponse) {
        *self.script.lock().unwrap() = script;
        wait_for("a request that reaches an upstream", || {
            self.calls += 1;
            let id = format!("{route}-{}", self.calls);
            let address = self.machines.entries[0].callers();
            let answer = call(address, &format!("/{route}/{}", self.calls), &id);
            let runs = self.workers.iter().flat_map(Worker::executed_requests);
            runs.into_iter().any(|run| run.request == id).then_some((id, answer))
        })
    }

    /// Plays `case` on all routes. Returns descriptions of answers that callers must not get.
    fn play(&mut self, case: &Case, arrival: Arrival) -> Vec<String> {
        let (text, mut faults) = (&case.text, Vec::new());
        for route in case.routes {
            let script = Script { arrival: Some(arrival), ..Script::new(text, case.end) };
            let (_, answer) = self.call(route, Some(script));
            if !case.allows(&answer, arrival) {
                let (status, is_complete) = (answer.status, answer.is_complete);
                faults.push(format!(
                    "{route}, {arrival:?}, {:?}, {text:?}: {status}, complete: {is_complete}, {:?}",
                    case.end,
                    answer.text()
                ));
            }
            let (id, answer) = self.call(route, None);
            let expected = match *route {
                "albums" | "bookings" => format!("i-shop-1 ran /{}", id.replace('-', "/")),
                _ => complete_stream(&id),
            };
            if !answer.is_complete || answer.text() != expected {
                faults.push(format!("the next answer after {text:?}: {}", answer.text()));
            }
        }
        faults
    }
}

/// What callers may get of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Expected {
    /// A failure, or an answer that is visibly cut.
    Failure,
    /// The same if all bytes arrive at once. Otherwise the answer with this status and body may be
    /// complete before the bytes behind it arrive.
    FailureAtOnce(u16, String),
    /// A complete 200 with this body.
    Whole(String),
}

/// Answer of an upstream, and what callers may get of it.
#[derive(Debug, Clone)]
pub struct Case {
    pub text: String,
    pub end: End,
    pub routes: &'static [&'static str],
    pub expected: Expected,
}

impl Case {
    /// Creates a case on all routes.
    pub fn new<T>(text: T, end: End, expected: Expected) -> Self
    where
        T: Into<String>,
    {
        Self { text: text.into(), end, routes: &ROUTES, expected }
    }

    fn allows(&self, answer: &HttpResponse, arrival: Arrival) -> bool {
        let is_failure = match answer.status {
            200 => !answer.is_complete,
            502 | 504 => answer.is_complete,
            _ => false,
        };
        match &self.expected {
            Expected::Failure => is_failure,
            Expected::FailureAtOnce(..) if arrival == Arrival::AtOnce => is_failure,
            Expected::FailureAtOnce(status, body) => {
                is_failure || (answer.status == *status && answer.text() == *body)
            }
            Expected::Whole(body) => {
                answer.status == 200 && answer.is_complete && answer.text() == *body
            }
        }
    }
}

/// Number of cases that are played one after the other.
const GROUP: usize = 10;

/// Plays each group of cases in each way of arrival, all at once on deployments of their own, and
/// checks that no caller got a wrong answer.
fn check_groups(groups: &[&[Case]]) {
    let plays = groups.iter().flat_map(|group| ARRIVALS.map(|arrival| (group.to_vec(), arrival)));
    let checks: Vec<_> = plays
        .map(|(cases, arrival)| {
            std::thread::spawn(move || {
                let mut deployment = Deployment::start();
                let faults: Vec<_> =
                    cases.iter().flat_map(|case| deployment.play(case, arrival)).collect();
                let plays: usize = cases.iter().map(|case| case.routes.len()).sum();
                assert!(faults.is_empty(), "{} of {plays} plays: {faults:#?}", faults.len());
            })
        })
        .collect();
    let failed = checks.into_iter().filter_map(|check| check.join().err()).count();
    assert_eq!(failed, 0, "groups with faults");
}

/// Plays `cases` in each way of arrival, and checks that no caller got a wrong answer.
pub fn check_cases(cases: &[Case]) {
    let groups: Vec<_> = cases.chunks(GROUP).collect();
    check_groups(&groups);
}

/// Plays answers that callers must not get, with what their upstream does behind each.
pub fn check_failures(answers: &[(Vec<String>, End)]) {
    let cases = |(texts, end): &(Vec<String>, End)| {
        let failure = |text: &String| Case::new(text, *end, Expected::Failure);
        texts.iter().map(failure).collect()
    };
    let groups: Vec<Vec<Case>> = answers.iter().map(cases).collect();
    let groups: Vec<_> = groups.iter().map(Vec::as_slice).collect();
    check_groups(&groups);
}
