//! A worker that has said that it leaves is gone before its answers are complete.

use std::time::Duration;

use super::{document, small_deployment, start_worker, wait, HOST, KEY};
use crate::fleet::Fleet;
use crate::http::{call, Answer};
use crate::record::Record;
use crate::worker::{whole_body, Answers};

/// Time between the acknowledgement that the worker drains and its end: the notice of `scale_in`
/// with `how = "spot"`, 2 s.
const NOTICE: Duration = Duration::from_millis(2000);

const PIECES: u32 = 40;
const INTERVAL_MS: u64 = 100;

pub fn run(record: &Record, has_trouble: bool) -> i32 {
    let fleet = Fleet::start(small_deployment(), record);
    fleet.put_document(&document(7));
    let answers = || Answers { is_framed: false, pieces: PIECES, interval_ms: INTERVAL_MS, deadly: "-".to_string() };
    let mut engine = start_worker(&fleet, record, 1, ("engines", "zone-a"), answers());
    let mut app = start_worker(&fleet, record, 2, ("app", "zone-a"), answers());
    fleet.wait_ready();
    std::thread::sleep(Duration::from_millis(1500));
    let front = fleet.fronts[0].front();
    let requests = [
        ("POST", "/chat/1", "9c41d07be2a35f01"),
        ("POST", "/report/1", "9c41d07be2a35f02"),
        ("POST", "/book/1", "9c41d07be2a35f03"),
        ("GET", "/look/1", "9c41d07be2a35f04"),
    ];
    let clients = requests.map(|(method, path, id)| {
        let record = record.clone();
        std::thread::spawn(move || {
            record.line(format!("client sends {id} {method} {path}"));
            let answer = send(front, method, path, id);
            match &answer {
                Ok(answer) => record.line(format!(
                    "client has {} for {id}, {} bytes, ends as complete: {}",
                    answer.head.first_line,
                    answer.body.len(),
                    answer.is_complete
                )),
                Err(error) => record.line(format!("client has no answer for {id}: {error}")),
            }
            answer
        })
    });
    let has_begun = wait(5.0, || {
        requests.iter().all(|(_, _, id)| {
            let begun = format!("wrote piece 3 of {PIECES} of {id}");
            engine.has_line(&begun) || app.has_line(&begun)
        })
    });
    if !has_begun {
        fleet.cannot_run("the requests have not begun");
    }
    for worker in [&mut engine, &mut app] {
        worker.command("drain");
    }
    let is_draining = wait(5.0, || {
        [&engine, &app].iter().all(|worker| worker.has_line("reported draining, acknowledged: true"))
    });
    if !is_draining {
        fleet.cannot_run("the reports of draining were not acknowledged");
    }
    std::thread::sleep(NOTICE);
    if has_trouble {
        engine.kill();
        app.kill();
        record.line("the workers were killed");
    }
    let answers = clients.map(|client| client.join());
    let mut is_broken = false;
    for ((_, path, id), answer) in requests.into_iter().zip(answers) {
        let Ok(Ok(answer)) = answer else {
            continue;
        };
        let is_stream = path.starts_with("/chat/") || path.starts_with("/report/");
        let whole = whole_body(is_stream, PIECES);
        let is_success = answer.head.status() == 200 && answer.is_complete;
        if is_success && answer.body != whole {
            is_broken = true;
            record.line(format!(
                "BROKEN: {id} {path} ended as a complete success with {} of {} bytes",
                answer.body.len(),
                whole.len()
            ));
        }
        if !has_trouble && !(is_success && answer.body == whole) {
            record.line(format!("{id} {path} was not answered in full without a disruption"));
        }
    }
    fleet.end();
    i32::from(is_broken)
}

fn send(
    front: std::net::SocketAddr,
    method: &str,
    path: &str,
    id: &str,
) -> std::io::Result<Answer> {
    let key = format!("Token {KEY}");
    let mut headers = vec![
        ("Host", HOST),
        ("Request-Id", id),
        ("Deadline-Remaining", "12000"),
        ("Authorization", key.as_str()),
    ];
    if path.starts_with("/chat/") || path.starts_with("/report/") {
        headers.push(("Model", "m"));
        headers.push(("Token-Counts", "1460,240"));
        headers.push(("Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"));
    }
    call(front, method, path, &headers, b"", Duration::from_secs(13))
}
