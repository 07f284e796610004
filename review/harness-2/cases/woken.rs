//! A front machine freezes while a worker crashes; the worker is back when the front wakes.

use std::net::SocketAddr;
use std::time::Duration;

use super::{document, small_deployment, start_worker, wait, worker_id, HOST, KEY};
use crate::fleet::{Fleet, Signal};
use crate::http::{call, Answer};
use crate::record::Record;
use crate::worker::{whole_body, Answers, Setup, Worker};

/// Time for which the front is frozen, and time for which the worker is down within it.
const FREEZE: Duration = Duration::from_millis(3500);
const DOWN: Duration = Duration::from_millis(2800);

/// Time between the freeze and the crash.
const CRASH_AFTER: Duration = Duration::from_millis(200);

const PIECES: u32 = 40;
const INTERVAL_MS: u64 = 50;

pub fn run(record: &Record, has_trouble: bool) -> i32 {
    let fleet = Fleet::start(small_deployment(), record);
    fleet.put_document(&document(7));
    let answers =
        Answers { is_framed: false, pieces: PIECES, interval_ms: INTERVAL_MS, deadly: "-".into() };
    let mut worker = start_worker(&fleet, record, 1, ("app", "zone-a"), answers);
    fleet.wait_ready();
    std::thread::sleep(Duration::from_millis(1500));
    let front = fleet.fronts[0].front();
    let requests = [("POST", "/book/1", "9c41d07be2a35f03"), ("GET", "/look/1", "9c41d07be2a35f04")];
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
        let begun = |id: &str| format!("wrote piece 5 of {PIECES} of {id}");
        requests.iter().all(|(_, _, id)| worker.has_line(&begun(id)))
    });
    if !has_begun {
        fleet.cannot_run("the requests have not begun");
    }
    let mut next = None;
    if has_trouble {
        fleet.fronts[0].signal(Signal::Stop);
        record.line(format!("front machine {} is frozen", fleet.fronts[0].ip));
        std::thread::sleep(CRASH_AFTER);
        worker.kill();
        record.line("the worker has crashed");
        std::thread::sleep(DOWN);
        next = Worker::start(Setup { id: worker_id(1, 1), ..worker.setup.clone() }, record).ok();
        record.line("the worker is back, a new lifetime at the same address");
        std::thread::sleep(FREEZE - CRASH_AFTER - DOWN);
        fleet.fronts[0].signal(Signal::Continue);
        record.line(format!("front machine {} wakes", fleet.fronts[0].ip));
        if next.is_none() {
            fleet.cannot_run("the worker does not start again");
        }
    }
    let answers = clients.map(|client| client.join());
    let whole = whole_body(false, PIECES);
    let mut is_broken = false;
    for ((_, path, id), answer) in requests.into_iter().zip(answers) {
        let Ok(Ok(answer)) = answer else {
            continue;
        };
        if answer.head.status() == 200 && answer.is_complete && answer.body != whole {
            is_broken = true;
            record.line(format!(
                "BROKEN: {id} {path} ended as a complete success with {} of {} bytes",
                answer.body.len(),
                whole.len()
            ));
        }
    }
    drop(next);
    fleet.end();
    i32::from(is_broken)
}

fn send(front: SocketAddr, method: &str, path: &str, id: &str) -> std::io::Result<Answer> {
    let key = format!("Token {KEY}");
    let headers = [
        ("Host", HOST),
        ("Request-Id", id),
        ("Deadline-Remaining", "12000"),
        ("Authorization", key.as_str()),
    ];
    call(front, method, path, &headers, b"", Duration::from_secs(13))
}
