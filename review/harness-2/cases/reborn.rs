//! A worker is cut off from all machines, crashes behind the cut, and starts again.

use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;

use super::{document, small_deployment, start, wait, worker_id, worker_setup, HOST, KEY};
use crate::fleet::Fleet;
use crate::http::{call, Answer};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::worker::{whole_body, Answers, Setup, Worker};

/// Time for which the worker is cut off, time until it crashes behind the cut, and time until it starts
/// again after that.
const CUT: Duration = Duration::from_millis(1500);
const CRASH_AFTER: Duration = Duration::from_millis(300);
const DOWN: Duration = Duration::from_millis(300);

const ENGINES: usize = 9;
const STREAMS: usize = 24;
const PIECES: u32 = 40;
const INTERVAL_MS: u64 = 100;

/// Starts an engine behind a proxy that has the address which the worker reports.
fn start_behind_proxy(fleet: &Fleet, record: &Record, number: usize) -> (Worker, Proxy) {
    let deadly = "-".to_string();
    let answers = Answers { is_framed: false, pieces: PIECES, interval_ms: INTERVAL_MS, deadly };
    let zone = fleet.deployment.zones[number % fleet.deployment.zones.len()].as_str();
    let setup = worker_setup(fleet, number, ("engines", zone), answers);
    let setup = Setup { listen: fleet.worker_address(number + 20), ..setup };
    let proxy = Proxy::start(setup.address, setup.listen)
        .unwrap_or_else(|_| fleet.cannot_run("a proxy does not start"));
    (start(fleet, record, setup), proxy)
}

/// Sends all requests at the fronts in turn. Returns the threads that wait for the answers.
fn send_all(fleet: &Fleet, record: &Record) -> Vec<Client> {
    let requests = (0..STREAMS).map(|number| {
        let kind = if number % 2 == 0 { "chat" } else { "report" };
        let front = fleet.fronts[number % fleet.fronts.len()].front();
        let (path, id) = (format!("/{kind}/{number}"), format!("9c41d07b{number:08x}"));
        let record = record.clone();
        let thread = std::thread::spawn({
            let id = id.clone();
            move || {
                record.line(format!("client sends {id} POST {path}"));
                let answer = send(front, &path, &id, number);
                match &answer {
                    Ok(answer) => record.line(format!(
                        "client has {} for {id}, {} bytes, ends as complete: {}",
                        answer.head.first_line,
                        answer.body.len(),
                        answer.is_complete
                    )),
                    Err(error) => record.line(format!("client has no answer for {id}: {error}")),
                }
                answer.ok()
            }
        });
        Client { id, thread }
    });
    requests.collect()
}

/// A request in progress.
struct Client {
    id: String,
    thread: JoinHandle<Option<Answer>>,
}

pub fn run(record: &Record, has_trouble: bool) -> i32 {
    let fleet = Fleet::start(small_deployment(), record);
    fleet.put_document(&document(7));
    let mut engines: Vec<(Worker, Proxy)> =
        (0..ENGINES).map(|number| start_behind_proxy(&fleet, record, number)).collect();
    fleet.wait_ready();
    std::thread::sleep(Duration::from_millis(3000));
    let clients = send_all(&fleet, record);
    let has_begun = |worker: &Worker, id: &str| {
        worker.has_line(&format!("wrote piece 3 of {PIECES} of {id}"))
    };
    let all_have_begun = || {
        let mut clients = clients.iter();
        clients.all(|client| engines.iter().any(|(worker, _)| has_begun(worker, &client.id)))
    };
    if !wait(5.0, all_have_begun) {
        fleet.cannot_run("the streams have not begun");
    }
    let streams = |worker: &Worker| {
        clients.iter().filter(|client| has_begun(worker, &client.id)).count()
    };
    let most = (0..ENGINES).max_by_key(|number| streams(&engines[*number].0)).unwrap_or(0);
    record.line(format!(
        "worker {} has {} of {STREAMS} streams",
        engines[most].0.setup.id,
        streams(&engines[most].0)
    ));
    let mut next = None;
    if has_trouble {
        let (worker, proxy) = &mut engines[most];
        proxy.set_cut(true);
        worker.command("cut");
        record.line("the worker is cut off from all machines");
        std::thread::sleep(CRASH_AFTER);
        worker.kill();
        record.line("the worker has crashed behind the cut");
        std::thread::sleep(DOWN);
        let held = CUT - CRASH_AFTER - DOWN;
        let (id, held_ms) = (worker_id(most, 1), held.as_millis() as u64);
        next = Some(start(&fleet, record, Setup { id, held_ms, ..worker.setup.clone() }));
        record.line("it has started again, a new lifetime at the same address");
        std::thread::sleep(held);
        proxy.set_cut(false);
        record.line("the cut has healed");
    }
    let whole = whole_body(true, PIECES);
    let (mut broken, mut served) = (0, 0);
    for client in clients {
        let Ok(Some(answer)) = client.thread.join() else {
            continue;
        };
        let is_success = answer.head.status() == 200 && answer.is_complete;
        served += usize::from(is_success && answer.body == whole);
        if is_success && answer.body != whole {
            broken += 1;
            record.line(format!(
                "BROKEN: {} ended as a complete success with {} of {} bytes",
                client.id,
                answer.body.len(),
                whole.len()
            ));
        }
    }
    record.line(format!(
        "{broken} of {STREAMS} streams ended as complete before their last piece, {served} were whole"
    ));
    drop((next, engines));
    fleet.end();
    if served == 0 { 2 } else { i32::from(broken > 0) }
}

fn send(front: SocketAddr, path: &str, id: &str, number: usize) -> std::io::Result<Answer> {
    let (key, prompt) = (format!("Token {KEY}"), format!("{number:08x}:800,{:08x}:250", !number as u32));
    let headers = [
        ("Host", HOST),
        ("Request-Id", id),
        ("Deadline-Remaining", "12000"),
        ("Authorization", key.as_str()),
        ("Model", "m"),
        ("Token-Counts", "1050,240"),
        ("Prompt-Prefix", prompt.as_str()),
    ];
    call(front, "POST", path, &headers, b"a prompt", Duration::from_secs(13))
}
