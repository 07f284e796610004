//! The cases.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::fleet::{Fleet, KEY, Machine, document};
use crate::http::{call, request};
use crate::record::Record;
use crate::worker::{DEADLY_PART, Run, Workers, millis, wait_served};

/// `contact-ms` of a small deployment.
const CONTACT: Duration = Duration::from_millis(3000);

/// Time after which a case gives up.
const LIMIT: Duration = Duration::from_secs(110);

/// Plays the case `name`.
pub fn play(name: &str, folder: &Path, has_trouble: bool) -> ExitCode {
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        eprintln!("the case took too long");
        // run.sh ends the processes that this one started.
        std::process::exit(2);
    });
    let record = Arc::new(Record::new());
    record.say(format!("case {name}, trouble {has_trouble}"));
    let result = match name {
        "prompt-lines" => prompt_lines(&record, has_trouble),
        "forgotten" => forgotten(&record, has_trouble),
        "odd-report" => odd_report(&record, has_trouble),
        "lull" => lull(&record, has_trouble),
        "sent-ahead" => sent_ahead(&record, has_trouble),
        "many-fields" => many_fields(&record, has_trouble),
        _ => Err("no such case".to_string()),
    };
    let code = match result {
        Ok(true) => {
            record.say("the rule was broken");
            1
        }
        Ok(false) => {
            record.say("the rule held");
            0
        }
        Err(error) => {
            record.say(format!("the case could not run: {error}"));
            2
        }
    };
    match record.write(folder) {
        Ok(()) => ExitCode::from(code),
        Err(_) => ExitCode::from(2),
    }
}

fn text(error: std::io::Error) -> String {
    error.to_string()
}

/// Fields that each request has, with a prompt if there is one.
fn fields<'a>(id: &'a str, key: &'a str, prompt: Option<&'a str>) -> Vec<(&'a str, &'a str)> {
    let mut fields = vec![
        ("Host", "ficu95.example"),
        ("Request-Id", id),
        ("Deadline-Remaining", "3000"),
        ("Authorization", key),
    ];
    if let Some(prompt) = prompt {
        fields.extend([("Model", "m"), ("Token-Counts", "300,40"), ("Prompt-Prefix", prompt)]);
    }
    fields
}

fn key() -> String {
    format!("Token {KEY}")
}

/// Requests of the routes, to find out whether a front serves.
fn usual_requests() -> Vec<Vec<u8>> {
    let key = key();
    vec![
        request("POST", "/caption/1", &fields("warm-1", &key, Some("aa:200,ab:100")), "{}"),
        request("GET", "/gallery/1", &fields("warm-2", &key, None), ""),
    ]
}

fn record_runs(record: &Record, runs: &[Run]) {
    for run in runs {
        let end = if run.crashes { "and crashes" } else { "" };
        let Run { at, worker, id, path, prompt, .. } = run;
        record.add(format!("run at {at}: {worker} runs {id} {path} prompt [{prompt}] {end}"));
    }
}

/// The parts of a prompt come as one field line each.
fn prompt_lines(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let fleet = Fleet::start(3, 2).map_err(text)?;
    let workers = Workers::start(&fleet, &[("llm", 4), ("shop", 2)], false).map_err(text)?;
    fleet.configure(&document())?;
    wait_served(&fleet, &usual_requests())?;
    let key = key();
    let mut sent = Vec::new();
    for number in 0..20 {
        let parts = [
            "5c1e07a2:800".to_string(),
            "91bd3f06:410".to_string(),
            "2e4402b7:250".to_string(),
            format!("0d{number:06x}:60"),
        ];
        let prompt = parts.join(",");
        let id = format!("c{number:015x}");
        let mut fields = fields(&id, &key, None);
        fields.extend([("Model", "m"), ("Token-Counts", "1520,80")]);
        match has_trouble {
            true => fields.extend(parts.iter().map(|part| ("Prompt-Prefix", part.as_str()))),
            false => fields.push(("Prompt-Prefix", prompt.as_str())),
        }
        let front = &fleet.fronts[number % fleet.fronts.len()];
        let bytes = request("POST", "/caption/2f", &fields, "{}");
        let answer = call(front.callers(), &bytes, Duration::from_secs(5));
        let answer = answer.map(|answer| answer.status).unwrap_or(0);
        record.add(format!("sent {id} prompt [{prompt}] to {}: {answer}", front.ip));
        sent.push((id, prompt));
    }
    let runs = workers.runs();
    record_runs(record, &runs);
    let changed = |(id, prompt): &&(String, String)| {
        runs.iter().any(|run| run.id == *id && run.prompt != *prompt)
    };
    let run = sent.iter().filter(|(id, _)| runs.iter().any(|run| run.id == *id)).count();
    let changed = sent.iter().filter(changed).count();
    record.say(format!("{run} of 20 requests ran, {changed} with another prompt than sent"));
    if run < 15 {
        return Err("too few requests ran".to_string());
    }
    Ok(changed > 0)
}

/// A request, always the same, that crashes workers comes again every `gap`.
struct Repeats {
    is_stopped: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Repeats {
    /// Starts to send. `make` returns the bytes of the request with a number.
    fn start(
        record: &Arc<Record>,
        fleet: &Fleet,
        gap: Duration,
        name: &'static str,
        make: impl Fn(usize) -> (String, Vec<u8>) + Send + 'static,
    ) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let (stop, record) = (is_stopped.clone(), record.clone());
        let callers: Vec<_> = fleet.fronts.iter().map(|front| front.callers()).collect();
        let thread = std::thread::spawn(move || {
            for number in 0.. {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let (id, bytes) = make(number);
                let (record, address) = (record.clone(), callers[number % callers.len()]);
                std::thread::spawn(move || {
                    let sent_at = millis();
                    let answer = call(address, &bytes, Duration::from_secs(3));
                    let answer = match answer {
                        Ok(answer) if answer.is_whole => answer.status.to_string(),
                        Ok(answer) => format!("{} cut off", answer.status),
                        Err(error) => error.to_string(),
                    };
                    record.add(format!("{name} {id} sent at {sent_at} to {address}: {answer}"));
                });
                std::thread::sleep(gap);
            }
        });
        Self { is_stopped, thread: Some(thread) }
    }
}

impl Drop for Repeats {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Sound requests with the first part `aa`.
fn sound(record: &Arc<Record>, fleet: &Fleet) -> Repeats {
    Repeats::start(record, fleet, Duration::from_millis(60), "sound", |number| {
        let (id, key) = (format!("50{number:014x}"), key());
        let prompt = format!("aa:200,e{number:x}:30");
        let body = format!("{{\"question\":{number}}}");
        (id.clone(), request("POST", "/report/2f", &fields(&id, &key, Some(&prompt)), &body))
    })
}

/// All fronts are killed while requests with a part that crashes workers still come, in groups of four
/// every five seconds.
fn forgotten(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let mut fleet = Fleet::start(3, 6).map_err(text)?;
    // The crashes are the trouble of the page about such parts. The kill is the one of this case.
    let workers = Workers::start(&fleet, &[("llm", 9), ("shop", 2)], true).map_err(text)?;
    fleet.configure(&document())?;
    wait_served(&fleet, &usual_requests())?;
    let _sound = sound(record, &fleet);
    let mut back = millis();
    for group in 0..8 {
        if group == 4 && has_trouble {
            record.say(format!("all fronts are killed at {}", millis()));
            fleet.fronts.iter_mut().for_each(Machine::kill);
            std::thread::sleep(Duration::from_millis(200));
            for front in &mut fleet.fronts {
                front.start().map_err(text)?;
            }
        }
        if group == 4 {
            back = millis();
            std::thread::sleep(CONTACT + Duration::from_millis(1500));
        }
        for number in 0..4 {
            send_with_part(record, &fleet, group * 4 + number);
        }
        std::thread::sleep(Duration::from_millis(if group == 3 { 1500 } else { 5000 }));
    }
    let runs = workers.runs();
    record_runs(record, &runs);
    let with_part: Vec<&Run> =
        runs.iter().filter(|run| run.prompt.contains(DEADLY_PART)).collect();
    // Requests that run at a worker side by side make one crash.
    let mut crashed: Vec<&Run> = Vec::new();
    for run in &with_part {
        if !crashed.iter().any(|other| other.worker == run.worker) {
            crashed.push(run);
        }
    }
    record.say(format!("{} workers crashed under the part", crashed.len()));
    let Some(fifth) = crashed.get(4).or(crashed.last()) else {
        return Err("no crash".to_string());
    };
    let known = fifth.at + CONTACT.as_millis() as u64;
    let in_touch = back + CONTACT.as_millis() as u64 + 500;
    let later = with_part.iter().filter(|run| run.at > known && run.at > in_touch).count();
    record.say(format!(
        "{later} requests with the part reached workers later than contact-ms after the fifth crash \
         and after the start of the fronts (3 are allowed)"
    ));
    Ok(later > 3)
}

/// Sends a request with the part that crashes workers.
fn send_with_part(record: &Arc<Record>, fleet: &Fleet, number: usize) {
    let (id, key) = (format!("bd{number:014x}"), key());
    let prompt = format!("aa:200,{DEADLY_PART}:100,f{number:x}:30");
    let fields = fields(&id, &key, Some(&prompt));
    let bytes = request("POST", "/caption/7f", &fields, &format!("{{\"n\":{number}}}"));
    let address = fleet.fronts[number % fleet.fronts.len()].callers();
    let record = record.clone();
    std::thread::spawn(move || {
        let sent_at = millis();
        let answer = match call(address, &bytes, Duration::from_secs(3)) {
            Ok(answer) if answer.is_whole => answer.status.to_string(),
            Ok(answer) => format!("{} cut off", answer.status),
            Err(error) => error.to_string(),
        };
        record.add(format!("bad {id} sent at {sent_at} to {address}: {answer}"));
    });
}

/// Requests inside the limits that consist of many short fields.
fn many_fields(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let fleet = Fleet::start(3, 2).map_err(text)?;
    let _workers = Workers::start(&fleet, &[("llm", 3), ("shop", 3)], false).map_err(text)?;
    fleet.configure(&document())?;
    wait_served(&fleet, &usual_requests())?;
    let count = if has_trouble { 100 } else { 20 };
    let names: Vec<String> = (0..count).map(|number| format!("X-{number}")).collect();
    let mut refused = 0;
    for number in 0..20 {
        let (id, key) = (format!("0f{number:014x}"), key());
        let mut fields = fields(&id, &key, None);
        fields.extend(names.iter().map(|name| (name.as_str(), "1")));
        let bytes = request("GET", "/gallery/9", &fields, "");
        let front = &fleet.fronts[number % 2];
        let answer = call(front.callers(), &bytes, Duration::from_secs(3));
        let status = answer.map(|answer| answer.status).unwrap_or(0);
        record.add(format!("sent {id}, {} bytes, {} fields: {status}", bytes.len(), fields.len()));
        refused += usize::from(matches!(status, 300..=499));
    }
    record.say(format!("{refused} of 20 requests were refused with a 4xx"));
    Ok(refused > 5)
}

/// Clients send many requests ahead on one connection, and close it.
fn sent_ahead(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let fleet = Fleet::start(3, 2).map_err(text)?;
    let workers = Workers::start(&fleet, &[("llm", 3), ("shop", 4)], false).map_err(text)?;
    fleet.configure(&document())?;
    wait_served(&fleet, &usual_requests())?;
    let ahead = if has_trouble { 400 } else { 2 };
    let clients: Vec<_> = (0..24)
        .map(|client| {
            let (record, address) = (record.clone(), fleet.fronts[client % 2].callers());
            std::thread::spawn(move || {
                let key = key();
                let mut bytes = Vec::new();
                for number in 0..ahead {
                    let id = format!("{client:04x}{number:012x}");
                    bytes.extend(request("GET", "/gallery/slow", &fields(&id, &key, None), ""));
                }
                let mut stream = TcpStream::connect(address)?;
                stream.write_all(&bytes)?;
                std::thread::sleep(Duration::from_millis(300));
                drop(stream);
                record.add(format!("client {client} sent {ahead} and closed at {}", millis()));
                Ok::<u64, std::io::Error>(millis())
            })
        })
        .collect();
    let closed: Vec<u64> =
        clients.into_iter().filter_map(|client| client.join().ok()?.ok()).collect();
    std::thread::sleep(Duration::from_secs(8));
    let runs = workers.runs();
    record_runs(record, &runs);
    let closed_at = |run: &Run| {
        let client = usize::from_str_radix(&run.id[..4], 16).unwrap_or(usize::MAX);
        closed.get(client).copied()
    };
    let half_second_later = |run: &&Run| closed_at(run).is_some_and(|at| run.at > at + 500);
    let begun = runs.iter().filter(|run| run.path == "/gallery/slow").count();
    let late = runs.iter().filter(|run| run.path == "/gallery/slow").filter(half_second_later);
    let late = late.count();
    let ends = runs.iter().filter(|run| run.path == "/gallery/slow/end");
    let worked_on = ends.filter(half_second_later).count();
    record.say(format!(
        "{} clients; {begun} requests reached workers, {late} of them over half a second after \
         their client had closed its channel; workers were still at work on {worked_on} half a \
         second after that",
        closed.len()
    ));
    Ok(late > 5 || worked_on * 4 > begun)
}

/// Another writer reports two workers, with fields of other types.
fn odd_report(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let fleet = Fleet::start(3, 2).map_err(text)?;
    let workers = Workers::start(&fleet, &[("llm", 3), ("shop", 2)], false).map_err(text)?;
    fleet.configure(&document())?;
    wait_served(&fleet, &usual_requests())?;
    for number in if has_trouble { 1..=2 } else { 1..=0 } {
        // The address and the id of a model worker. The first report has a field of another type, and
        // the second one lacks a field.
        let address = SocketAddr::new(fleet.ip(20 + number).into(), 8120);
        let odd = if number == 1 { "\"version\":7," } else { "" };
        let body = format!(
            "{{\"service\":\"shop\",\"address\":\"{address}\",\"zone\":\"cairo-a\",{odd}\
             \"slots\":64,\"state\":\"ready\",\"cold-remaining-ms\":0,\"stage\":\"both\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"seq\":1,\"born\":{}}}",
            millis()
        );
        let path = format!("/v1/workers/i-llm-{number}");
        let fields = [("Host", "control"), ("Content-Type", "application/json")];
        let report = request("PUT", &path, &fields, &body);
        let answer = call(fleet.controls[0].control(), &report, Duration::from_secs(2));
        let answer = answer.map(|answer| answer.status).unwrap_or(0);
        record.say(format!("another writer: PUT {path} {body}: {answer}"));
    }
    std::thread::sleep(Duration::from_secs(1));
    let clients: Vec<_> = (0..16)
        .map(|client: usize| {
            let (record, address) = (record.clone(), fleet.fronts[client % 2].callers());
            std::thread::spawn(move || {
                for number in 0..15 {
                    let (id, key) = (format!("c4{client:04x}{number:010x}"), key());
                    let bytes = request("POST", "/charge/8f", &fields(&id, &key, None), "{}");
                    let answer = match call(address, &bytes, Duration::from_secs(3)) {
                        Ok(answer) => answer.status.to_string(),
                        Err(error) => error.to_string(),
                    };
                    record.add(format!("sent {id} /charge/8f to {address}: {answer}"));
                    std::thread::sleep(Duration::from_millis(50));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let runs = workers.runs();
    record_runs(record, &runs);
    let charges = runs.iter().filter(|run| run.path.starts_with("/charge/"));
    let at = |id: &str| charges.clone().filter(|run| run.worker == id).count();
    let (typed, missing) = (at("i-llm-1"), at("i-llm-2"));
    record.say(format!(
        "{} bookings ran; workers of the service llm, to which no desired state lets them go, ran \
         {typed} after the report with a field of another type and {missing} after the one that lacks \
         a field",
        charges.clone().count()
    ));
    Ok(typed + missing > 0)
}

/// Sends sound requests with the first part `aa`, one every 200 ms. Returns their ids, and the times at
/// which they were sent.
fn sound_group(
    record: &Arc<Record>,
    fleet: &Fleet,
    group: usize,
    count: usize,
) -> Vec<(u64, String)> {
    let clients: Vec<_> = (0..count)
        .map(|number| {
            let address = fleet.fronts[number % fleet.fronts.len()].callers();
            let record = record.clone();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(200 * number as u64));
                let (id, key) = (format!("50{group:02x}{number:012x}"), key());
                let prompt = format!("aa:200,e{group}{number:x}:30");
                let fields = fields(&id, &key, Some(&prompt));
                let bytes = request("POST", "/report/2f", &fields, &format!("{{\"n\":{number}}}"));
                let sent_at = millis();
                let answer = match call(address, &bytes, Duration::from_secs(3)) {
                    Ok(answer) if answer.is_whole => answer.status.to_string(),
                    Ok(answer) => format!("{} cut off", answer.status),
                    Err(error) => error.to_string(),
                };
                record.add(format!("sound {id} sent at {sent_at} to {address}: {answer}"));
                (sent_at, id)
            })
        })
        .collect();
    clients.into_iter().filter_map(|client| client.join().ok()).collect()
}

/// Three requests with a part that crashes workers come while sound ones with the same first part pause
/// for three seconds.
fn lull(record: &Arc<Record>, has_trouble: bool) -> Result<bool, String> {
    let fleet = Fleet::start(3, 6).map_err(text)?;
    let workers =
        Workers::start(&fleet, &[("llm", 9), ("shop", 2)], has_trouble).map_err(text)?;
    fleet.configure(&document())?;
    wait_served(&fleet, &usual_requests())?;
    let before = sound_group(record, &fleet, 0, 40);
    let bad = Repeats::start(record, &fleet, Duration::from_millis(1200), "bad", |number| {
        let (id, key) = (format!("bd{number:014x}"), key());
        let prompt = format!("aa:200,{DEADLY_PART}:100,f{number:x}:30");
        let body = format!("{{\"n\":{number}}}");
        (id.clone(), request("POST", "/report/7f", &fields(&id, &key, Some(&prompt)), &body))
    });
    std::thread::sleep(Duration::from_millis(3000));
    record.say(format!("sound requests come again at {}", millis()));
    let after = sound_group(record, &fleet, 1, 120);
    drop(bad);
    let runs = workers.runs();
    record_runs(record, &runs);
    let crashes: Vec<u64> = runs.iter().filter(|run| run.crashes).map(|run| run.at).collect();
    record.say(format!("{} workers crashed, at {crashes:?}", crashes.len()));
    let last = match (crashes.get(4).or(crashes.last()), has_trouble) {
        (Some(last), _) => *last,
        (None, false) => millis() - 24_000,
        (None, true) => return Err("no crash".to_string()),
    };
    let since = last + 2 * CONTACT.as_millis() as u64;
    let later: Vec<_> = after.into_iter().filter(|(sent_at, _)| *sent_at > since).collect();
    let begun = |requests: &[(u64, String)]| {
        let began = |id: &String| runs.iter().any(|run| run.id == *id);
        let count = requests.iter().filter(|(_, id)| began(id)).count();
        (count, requests.len())
    };
    let (before, later) = (begun(&before), begun(&later));
    record.say(format!(
        "sound requests with the same first part that began at a worker: {} of {} before, {} of {} \
         later than 2 x contact-ms after the last crash",
        before.0, before.1, later.0, later.1
    ));
    if before.1 < 20 || later.1 < 20 {
        return Err("too few sound requests".to_string());
    }
    let share = |(count, all): (usize, usize)| count as f64 / all as f64;
    Ok(share(later) < share(before) / 2.0)
}
