//! End-to-end tests of answers that break off at any byte: a caller sees a complete answer only if
//! the upstream sent one, and all answers that were sent whole arrive whole.

#![allow(clippy::unwrap_used, clippy::panic)]

mod support;

use std::collections::BTreeSet;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use support::machines::{Machines, document};
use support::platform_calls::{call, call_with_prompt, start_upstream};
use support::script::{End, Script, ScriptedRequest};
use support::wait_for;
use support::worker::{Behaviour, HttpResponse, Worker};
use test_case::test_case;

const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const TEXT: &str = "plain text";

/// Number of callers that send requests at the same time.
const CALLERS: usize = 8;

/// Attempts of a caller until an upstream begins to answer its request.
const MAX_CALLS: usize = 200;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
    None,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Content {
    /// Stream of events that names its type.
    TypedEvents,
    /// Stream of events without a type.
    UntypedEvents,
    /// Text that names its type.
    TypedText,
    /// Text without a type.
    UntypedText,
}

/// Answer of an upstream that ends after `cut` bytes of its encoded body.
#[derive(Debug, Clone, Copy)]
struct Case {
    route: &'static str,
    framing: Framing,
    content: Content,
    cut: usize,
    end: End,
}

/// What a caller may be told of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Expected {
    /// The whole answer, as complete.
    Whole,
    /// A visible cut, or the whole answer if another upstream resumed it.
    NotAsComplete,
    /// The bytes that arrived, as complete: nothing distinguishes them from a whole answer.
    Prefix,
}

impl Case {
    fn body(&self) -> &'static str {
        match self.content {
            Content::TypedEvents | Content::UntypedEvents => EVENTS,
            Content::TypedText | Content::UntypedText => TEXT,
        }
    }

    fn content_type(&self) -> &'static str {
        match self.content {
            Content::TypedEvents => "content-type: text/event-stream\r\n",
            Content::TypedText => "content-type: text/plain\r\n",
            Content::UntypedEvents | Content::UntypedText => "",
        }
    }

    fn encoded_body(&self) -> String {
        let body = self.body();
        match self.framing {
            Framing::Length | Framing::None => body.to_string(),
            Framing::Chunks => {
                let (first, second) = body.split_at(body.len() / 2);
                format!(
                    "{:x}\r\n{first}\r\n{:x}\r\n{second}\r\n0\r\n\r\n",
                    first.len(),
                    second.len()
                )
            }
        }
    }

    fn script(&self) -> Script {
        let mut text = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nserver-stamp: s\r\n".to_string();
        text.push_str(self.content_type());
        match self.framing {
            Framing::Length => {
                write!(text, "content-length: {}\r\n", self.body().len()).unwrap();
            }
            Framing::Chunks => text.push_str("transfer-encoding: chunked\r\n"),
            Framing::None => {}
        }
        text.push_str("\r\n");
        text.push_str(&self.encoded_body()[..self.cut]);
        Script::new(text, self.end)
    }

    /// Returns whether the upstream is within an event when it ends the answer.
    fn is_within_event(&self) -> bool {
        let is_events = matches!(self.content, Content::TypedEvents | Content::UntypedEvents);
        is_events && self.cut > 0 && !EVENTS[..self.cut].ends_with("\n\n")
    }

    fn expected(&self) -> Expected {
        let is_whole = self.cut == self.encoded_body().len();
        match (self.framing, self.end) {
            (Framing::Length | Framing::Chunks, _) if is_whole => Expected::Whole,
            (Framing::Length | Framing::Chunks, _) => Expected::NotAsComplete,
            (Framing::None, End::Reset | End::Crash) => Expected::NotAsComplete,
            (Framing::None, _) if is_whole => Expected::Whole,
            (Framing::None, _) if self.is_within_event() => Expected::NotAsComplete,
            (Framing::None, _) => Expected::Prefix,
        }
    }

    /// Returns why the answer that a caller got is wrong, if it is.
    fn fault(&self, answer: &HttpResponse) -> Option<String> {
        let (text, whole) = (answer.text(), self.body());
        let is_right = match self.expected() {
            Expected::Whole => answer.is_complete && text == whole,
            Expected::NotAsComplete if answer.is_complete => text == whole,
            Expected::NotAsComplete => whole.starts_with(&text),
            Expected::Prefix => answer.is_complete && text == whole[..self.cut],
        };
        let end = if answer.is_complete { "complete" } else { "cut" };
        (!is_right).then(|| format!("{self:?}: expected {:?}, {end}, {text:?}", self.expected()))
    }
}

/// Returns the answers on `routes` that are cut at each byte, ended by `ends`.
fn cases(routes: &[&'static str], contents: &[Content], ends: &[End]) -> Vec<Case> {
    let mut cases = Vec::new();
    for &route in routes {
        for framing in [Framing::Length, Framing::Chunks, Framing::None] {
            for &content in contents {
                for &end in ends {
                    let case = Case { route, framing, content, cut: 0, end };
                    let length = case.encoded_body().len();
                    cases.extend((0..=length).map(|cut| Case { cut, ..case }));
                }
            }
        }
    }
    cases
}

/// Upstreams that answer by the cases, and are replaced when they have crashed.
struct Upstreams {
    workers: Arc<Mutex<Vec<Worker>>>,
    is_stopped: Arc<AtomicBool>,
    supervisor: Option<JoinHandle<()>>,
}

impl Upstreams {
    fn start(
        service: &'static str,
        count: usize,
        seeds: &[SocketAddr],
        cases: Arc<Vec<Case>>,
    ) -> Self {
        let seeds = seeds.to_vec();
        let seen: Arc<Mutex<BTreeSet<String>>> = Arc::default();
        let start = move |number: usize| {
            let worker = Worker::start(&format!("i-{service}-{number}"), service, seeds.clone());
            let (cases, seen) = (cases.clone(), seen.clone());
            worker.set_script(move |request| answer(&cases, &seen, request));
            worker
        };
        let workers = Arc::new(Mutex::new((1..=count).map(&start).collect::<Vec<_>>()));
        let is_stopped = Arc::new(AtomicBool::new(false));
        let (all, is_ended) = (workers.clone(), is_stopped.clone());
        let supervisor = std::thread::spawn(move || {
            let mut started = count;
            while !is_ended.load(Ordering::Relaxed) {
                let crashed =
                    all.lock().unwrap().iter().filter(|w| w.crashed_at().is_some()).count();
                while started < count + crashed {
                    started += 1;
                    let worker = start(started);
                    all.lock().unwrap().push(worker);
                }
                std::thread::sleep(Duration::from_millis(10));
            }
        });
        Self { workers, is_stopped, supervisor: Some(supervisor) }
    }

    /// Returns whether the request `id` has reached an upstream.
    fn has_run(&self, id: &str) -> bool {
        let workers = self.workers.lock().unwrap();
        workers.iter().flat_map(Worker::executed_requests).any(|run| run.request == id)
    }
}

impl Drop for Upstreams {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        if let Some(supervisor) = self.supervisor.take() {
            let _ = supervisor.join();
        }
    }
}

/// Answers the first attempt of a request by its case, and any later one with what is left of the
/// whole answer.
fn answer(
    cases: &[Case],
    seen: &Mutex<BTreeSet<String>>,
    request: &ScriptedRequest<'_>,
) -> Option<Script> {
    let number: usize = request.id.split('-').nth(1)?.parse().ok()?;
    let case = cases[number];
    if seen.lock().unwrap().insert(request.id.to_string()) {
        return Some(case.script());
    }
    let body = case.body();
    let rest = match request.last_event_id {
        None => body,
        Some("1") => &body[body.len() / 2..],
        Some(_) => "",
    };
    let head = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nserver-stamp: s\r\n";
    let (content_type, length) = (case.content_type(), rest.len());
    let text = format!("{head}{content_type}content-length: {length}\r\n\r\n{rest}");
    Some(Script::new(text, End::Close))
}

/// Sends the request of each case until an upstream begins to answer it, and returns the faults.
fn play(entry: SocketAddr, upstreams: &Arc<Upstreams>, cases: &Arc<Vec<Case>>) -> Vec<String> {
    let next = Arc::new(AtomicUsize::new(0));
    let callers = (0..CALLERS).map(|_| {
        let (cases, next, upstreams) = (cases.clone(), next.clone(), upstreams.clone());
        std::thread::spawn(move || {
            let mut faults = Vec::new();
            loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                let Some(case) = cases.get(number) else {
                    return faults;
                };
                let answer = call_until_run(entry, &upstreams, case, number);
                faults.extend(case.fault(&answer));
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
}

fn call_until_run(
    entry: SocketAddr,
    upstreams: &Upstreams,
    case: &Case,
    number: usize,
) -> HttpResponse {
    for call in 0..MAX_CALLS {
        let id = format!("case-{number}-{call}");
        // Each prompt is used once, so that none of its parts is quarantined.
        let prompt = format!("{number:x}a{call:x}:100,{number:x}b{call:x}:10");
        let answer = call_with_prompt(entry, &format!("/{}/1", case.route), &id, &prompt).unwrap();
        // Another request may have crashed the upstream before it answered this one.
        if upstreams.has_run(&id) && answer.status == 200 {
            return answer;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    panic!("no upstream began to answer the request of {case:?}");
}

const ALL_CONTENTS: [Content; 4] =
    [Content::TypedEvents, Content::UntypedEvents, Content::TypedText, Content::UntypedText];

const TEXTS: [Content; 2] = [Content::TypedText, Content::UntypedText];

#[test_case("engines", &["captions", "reports"], &ALL_CONTENTS, &[End::Close, End::Reset]; "streams of an upstream that lives on")]
#[test_case("engines", &["captions", "reports"], &ALL_CONTENTS, &[End::Crash]; "streams of an upstream that crashes")]
#[test_case("shop", &["albums", "bookings"], &TEXTS, &[End::Close, End::Reset]; "calls of an upstream that lives on")]
#[test_case("shop", &["albums", "bookings"], &TEXTS, &[End::Crash]; "calls of an upstream that crashes")]
fn an_answer_that_breaks_off_at_any_byte_never_looks_complete(
    service: &'static str,
    routes: &[&'static str],
    contents: &[Content],
    ends: &[End],
) {
    let machines = Machines::start(3, 1);
    let cases = Arc::new(cases(routes, contents, ends));
    let count = if ends.contains(&End::Crash) { 24 } else { 8 };
    let upstreams = Arc::new(Upstreams::start(service, count, &machines.seeds(), cases.clone()));
    machines.put_document_until_acknowledged(&document(7));
    machines.wait_ready(7);
    wait_for("arrival of the upstreams at the entry instance", || {
        (machines.entries[0].events("upstream").len() >= count).then_some(())
    });
    let faults = play(machines.entries[0].callers(), &upstreams, &cases);
    let shown: Vec<&String> = faults.iter().take(20).collect();
    assert!(faults.is_empty(), "{} of {} cases: {shown:#?}", faults.len(), cases.len());
}

#[test_case("id: 1\ndata: a\n\nid: 2\nda", 1; "whose first byte arrives on its own")]
#[test_case("\u{feff}id: 1\ndata: a\n\nid: 2\nda", 1; "with a byte order mark")]
#[test_case("weight-versions: 3\nid: 1\ndata: a\n\nid: 2\nda", 4; "with a line of the platform")]
#[test_case("weight-versions: 3\nid: 1\nda", 0; "within its first event")]
#[test_case("weight-ver", 0; "within its first line")]
fn a_stream_without_a_type_that_ends_within_an_event_is_cut(body: &str, pause_at: usize) {
    let machines = Machines::start(3, 1);
    machines.put_document_until_acknowledged(&document(7));
    machines.wait_document_in_force(7);
    let engine = start_upstream(&machines, "i-engine-1", "engines", Behaviour::Answer);
    let head = "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nserver-stamp: s\r\n\r\n";
    let mut script = Script::new(format!("{head}{body}"), End::Close);
    script.pause_at = (pause_at > 0).then_some(pause_at);
    engine.set_script(move |_| Some(script.clone()));
    let answer = call(machines.entries[0].callers(), "/reports/1", "untyped");
    assert_eq!(answer.status, 200);
    assert!(!answer.is_complete, "{}", answer.text());
}
