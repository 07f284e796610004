//! End-to-end tests at the product's own interface of answers that break a rule of HTTP/1.1: a caller
//! never gets them as complete, and the next caller gets its own answer.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

use serde_json::{Value, json};
use support::malformed::{self, Framing, HeadFault};
use support::script::{Arrival, End, Script, send_text};
use support::worker::read_attempt;
use support::{Answer, BOOKINGS, CHAT, Fleet, booking, chat, get, post, streamed_text, wait_for};
use test_case::test_case;

const ARRIVALS: [Arrival; 3] = [Arrival::AtOnce, Arrival::ByteByByte, Arrival::Split];

const FIELDS: &str = "x-attempt-id: ID\r\n";

/// Answer that callers must not get as complete.
#[derive(Clone)]
struct Case {
    text: String,
    /// Body of the answer by its head, which callers may get if the bytes behind it arrive later.
    declared: Option<String>,
}

impl From<String> for Case {
    fn from(text: String) -> Self {
        Self { text, declared: None }
    }
}

/// How an upstream answers, and the number of requests that it got.
#[derive(Default)]
struct Upstream {
    /// Answer to each request; `None` for a sound one with `sound` as its body.
    script: Option<Script>,
    sound: String,
    runs: usize,
}

/// Kind of a request with its path, its body, and the body of a whole answer, in which `NUMBER`
/// stands for any number.
#[derive(Clone)]
struct Kind {
    path: &'static str,
    request: Value,
    body: &'static str,
    is_streamed: bool,
}

fn kinds() -> [Kind; 3] {
    [
        Kind {
            path: BOOKINGS,
            request: booking("nasr"),
            body: "{\"booking\": NUMBER, \"x\": 10}",
            is_streamed: false,
        },
        Kind {
            path: CHAT,
            request: chat("hello", 1, false),
            body: "{\"choices\": [{\"message\": {\"content\": \"NUMBER\"}}]}",
            is_streamed: false,
        },
        Kind {
            path: CHAT,
            request: chat("hello", 1, true),
            body: "data: {\"id\":\"c\",\"choices\":[{\"delta\":{\"content\":\"NUMBER\"}}]}\n\n\
                   data: [DONE]\n\n",
            is_streamed: true,
        },
    ]
}

impl Kind {
    fn fields(&self) -> String {
        let content_type = if self.is_streamed { "text/event-stream" } else { "application/json" };
        format!("{FIELDS}content-type: {content_type}\r\n")
    }

    fn text(&self, number: usize) -> String {
        self.body.replace("NUMBER", &number.to_string())
    }
}

fn serve(mut stream: TcpStream, upstream: &Mutex<Upstream>) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let (_, id) = read_attempt(&mut reader)?;
        let (script, sound) = {
            let mut upstream = upstream.lock().unwrap();
            upstream.runs += 1;
            (upstream.script.clone(), upstream.sound.clone())
        };
        let script = script.unwrap_or_else(|| Script::new(sound, End::KeepOpen));
        let text = String::from_utf8(script.bytes).unwrap().replace("ID", &id);
        send_text(&mut stream, &text, script.arrival.unwrap_or(Arrival::AtOnce)).ok()?;
        if script.end == End::Close {
            return None;
        }
    }
}

/// Starts an upstream that answers as `upstream` says, and returns its address.
fn start_upstream(upstream: &Arc<Mutex<Upstream>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, upstream) = (listener.local_addr().unwrap(), upstream.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let upstream = upstream.clone();
            std::thread::spawn(move || serve(stream, &upstream));
        }
    });
    address
}

struct Deployment {
    fleet: Fleet,
    upstream: Arc<Mutex<Upstream>>,
    calls: usize,
}

impl Deployment {
    fn start() -> Self {
        let fleet = Fleet::start(&["giza"]);
        let upstream: Arc<Mutex<Upstream>> = Arc::default();
        let upstreams = [
            ("shop-1", "plain", json!([]), json!({ "app": "shop" })),
            ("engine-1", "chat-completions", json!(["caption-small"]), json!({})),
        ];
        for (name, protocol, models, labels) in upstreams {
            let announcement = json!({
                "upstream": name, "incarnation": 1, "data_centre": "giza",
                "address": start_upstream(&upstream).to_string(), "protocol": protocol,
                "models": models, "slots": 8, "labels": labels, "expires_in": "300s",
            });
            let operators = fleet.instances[0].addresses.operators;
            post(operators, "/announce", &[], &announcement).unwrap();
        }
        Self { fleet, upstream, calls: 0 }
    }

    /// Sends requests of `kind` until one reaches the upstream, which answers with `script`. Returns
    /// the answer.
    fn call(&mut self, kind: &Kind, script: Option<Script>) -> Result<Answer, String> {
        self.calls += 1;
        let body = kind.text(self.calls);
        let sound = format!(
            "HTTP/1.1 200 OK\r\n{}content-length: {}\r\n\r\n{body}",
            kind.fields(),
            body.len()
        );
        let callers = self.fleet.instances[0].addresses.callers;
        let before = {
            let mut upstream = self.upstream.lock().unwrap();
            (upstream.script, upstream.sound) = (script, sound);
            upstream.runs
        };
        wait_for("a request that reaches the upstream", || {
            let headers = [("x-turmericrelay-deadline", "3s")];
            let answer = post(callers, kind.path, &headers, &kind.request);
            (self.upstream.lock().unwrap().runs > before).then_some(answer)
        })
    }

    /// Checks that no caller gets `case` as a complete answer, and that the next one gets its own.
    fn play(&mut self, kind: &Kind, case: &Case, end: End, arrival: Arrival) -> Option<String> {
        let text = &case.text;
        let script = Script { arrival: Some(arrival), ..Script::new(text, end) };
        let answer = self.call(kind, Some(script));
        let is_right = answer.as_ref().is_ok_and(|answer| {
            matches!(answer.status, 502..=504) && answer.verdict.as_deref() == Some("may-have-run")
        });
        let is_declared = answer.as_ref().is_ok_and(|answer| {
            answer.status == 200 && Some(&answer.body) == case.declared.as_ref()
        });
        let is_allowed = is_right || (is_declared && arrival != Arrival::AtOnce);
        if !is_allowed && answer.is_ok() {
            return Some(format!("{}, {arrival:?}, {text:?}: {answer:?}", kind.path));
        }
        let answer = self.call(kind, None);
        let expected = kind.text(self.calls);
        let is_own = answer.as_ref().is_ok_and(|answer| match kind.is_streamed {
            true => streamed_text(&answer.body) == Some(self.calls.to_string()),
            false => answer.body == expected,
        });
        (!is_own).then(|| format!("the next answer after {text:?}: {answer:?}"))
    }

    /// Plays `cases` to requests of `kind`, and checks that no caller got a wrong answer.
    fn check(&mut self, kind: &Kind, cases: &[Case], end: End, arrival: Arrival) {
        let faults: Vec<_> =
            cases.iter().filter_map(|case| self.play(kind, case, end, arrival)).collect();
        assert!(faults.is_empty(), "{} of {} plays: {faults:#?}", faults.len(), cases.len());
    }
}

/// Number of answers that are played one after the other.
const GROUP: usize = 9;

/// Plays the answers that `answers` returns for each kind of request, in each way of arrival, in groups
/// at the same time on deployments of their own.
fn check_kinds<F, C>(answers: F, end: End)
where
    F: Fn(&Kind) -> Vec<C>,
    C: Into<Case>,
{
    let mut checks = Vec::new();
    for kind in kinds() {
        for arrival in ARRIVALS {
            let cases: Vec<Case> = answers(&kind).into_iter().map(Into::into).collect();
            for group in cases.chunks(GROUP) {
                let (kind, group) = (kind.clone(), group.to_vec());
                checks.push(std::thread::spawn(move || {
                    Deployment::start().check(&kind, &group, end, arrival);
                }));
            }
        }
    }
    let failed = checks.into_iter().filter_map(|check| check.join().err()).count();
    assert_eq!(failed, 0, "groups with faults");
}

/// Guards against an answer with a malformed head that a caller gets as an answer, and against a
/// connection that is used again after one.
#[test_case(HeadFault::Length; "length of the body")]
#[test_case(HeadFault::Line; "line that is no field")]
#[test_case(HeadFault::Status; "status 000")]
#[test_case(HeadFault::Name; "blank or control byte in a name")]
fn an_answer_with_a_malformed_head_is_a_failure_of_its_upstream(fault: HeadFault) {
    for framing in Framing::ALL {
        let end = if framing == Framing::UntilClose { End::Close } else { End::KeepOpen };
        let answers = |kind: &Kind| malformed::heads(fault, framing, &kind.fields(), &kind.text(7));
        check_kinds(answers, end);
    }
}

/// Guards against a part of an answer that passes as complete because a chunk is malformed.
#[test]
fn an_answer_with_malformed_chunks_is_never_complete() {
    check_kinds(|kind| malformed::chunks(&kind.fields(), &kind.text(7)), End::KeepOpen);
}

/// Guards against a body that is cut at a length which turned into a lesser one.
#[test_case(End::Close; "of an upstream that closes the connection")]
#[test_case(End::KeepOpen; "of an upstream that keeps the connection")]
fn an_answer_with_a_length_that_is_too_small_is_a_failure_of_its_upstream(end: End) {
    let cases = |kind: &Kind| -> Vec<Case> {
        let body = kind.text(7);
        let case = |length: usize| {
            let (first, rest) = body.split_at(length);
            let head = format!("HTTP/1.1 200 OK\r\n{}content-length: {length}", kind.fields());
            let text = format!("{head}\r\n\r\n{first}^{rest}");
            Case { text, declared: Some(first.to_string()) }
        };
        [0, 1, 9, body.len() - 1].map(case).to_vec()
    };
    check_kinds(cases, end);
}

/// Returns answers to a request of `kind` whose heads are damaged to other valid ones.
fn damaged_heads(kind: &Kind) -> Vec<String> {
    let body = kind.text(7);
    let chunks = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
    let part = &body[..body.len() - 9];
    let length = format!("content-length: {}\r\n", body.len());
    let close = "connection: close\r\n";
    let answers = [
        ("200 OK", format!("{close}transfer-encodi^nx: chunked\r\n\r\n{chunks}")),
        ("200 OK", format!("x-oth^er: chunked\r\n\r\n{chunks}")),
        ("200 OK", format!("{close}\r\n{chunks}")),
        ("200 OK", format!("{close}contentleng^th: {}\r\n\r\n{part}", body.len())),
        ("200 OK", format!("{close}\r\n{length}\r^\n{body}")),
        ("200 OK", format!("{close}\r\ntransfer-encoding: chunked\r\n\r^\n{chunks}")),
        ("204 No Content", format!("{length}\r\n^{body}")),
        ("205 Reset Content", format!("{length}\r\n^{body}")),
        ("204 No Content", format!("transfer-encoding: chunked\r\n\r\n^{chunks}")),
    ];
    let answer = |(status, rest)| format!("HTTP/1.1 {status}\r\n{}{rest}", kind.fields());
    answers.map(answer).to_vec()
}

/// Guards against chunk lines, fields, a part of a body or no body that pass as a complete answer because
/// its damaged head is a valid one.
#[test]
fn an_answer_with_another_valid_head_is_a_failure_of_its_upstream() {
    check_kinds(damaged_heads, End::Close);
}

/// Guards against a stream that passes as complete because of its last event, although the framing
/// around its events is damaged.
#[test]
fn a_stream_whose_framing_is_malformed_behind_its_last_event_is_cut() {
    let [_, _, stream] = kinds();
    let text = stream.text(7);
    let head = format!("HTTP/1.1 200 OK\r\n{}transfer-encoding: chunked\r\n\r\n", stream.fields());
    let answer = format!("{head}{:x}\r\n{text}^x\r\n0\r\n\r\n", text.len());
    Deployment::start().check(&stream, &[answer.into()], End::KeepOpen, Arrival::Split);
}

/// Guards against a malformed answer that operators cannot tell from a broken connection.
#[test]
fn a_malformed_answer_is_counted_by_the_rule_that_it_breaks() {
    let mut deployment = Deployment::start();
    let [booking, ..] = kinds();
    let answer = format!("HTTP/1.1 200 OK\r\n{}content-length: +2\r\n\r\n{{}}", booking.fields());
    deployment.call(&booking, Some(Script::new(answer, End::Close))).unwrap();
    let operators = deployment.fleet.instances[0].addresses.operators;
    let metrics = get(operators, "/metrics").unwrap();
    let count = "turmericrelay_malformed_answers_total{rule=\"content-length\"} 1";
    assert!(metrics.lines().any(|line| line == count), "{metrics}");
}
