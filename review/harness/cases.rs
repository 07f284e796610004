//! The cases. Each returns whether the rule was broken.

use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::fleet::{self, Fleet, KEY, Machine};
use crate::http::{self, Answer, Channel, End, Pace};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::worker;

/// Time after a start from which a machine is in touch, `contact-ms` of the sheets and a little more.
const CONTACT: Duration = Duration::from_millis(4000);

pub fn play(case: &str, folder: &Path, is_troubled: bool) -> Result<bool, String> {
    let record = Record::create(folder)?;
    record.line(format!("case {case}, TROUBLE={}", u8::from(is_troubled)));
    let broken = match case {
        "cut-stream" => cut_stream(&record, is_troubled),
        "uploads" => uploads(&record, is_troubled),
        "reborn" => reborn(&record, is_troubled),
        "other-version" => other_version(&record, is_troubled),
        "other-writer" => other_writer(&record, is_troubled),
        "lost-leave" => lost_leave(&record, is_troubled),
        "slow-reader" => slow_reader(&record, is_troubled),
        _ => Err(format!("no case {case}")),
    }?;
    record.line(if broken { "the rule was broken" } else { "the rule held" });
    Ok(broken)
}

/// The root of the repository, two folders above a case.
fn repository() -> PathBuf {
    let program = std::env::current_exe().unwrap();
    program.ancestors().nth(3).unwrap().to_path_buf()
}

struct Worker {
    process: Child,
    log: PathBuf,
    id: String,
}

impl Worker {
    fn start(
        fleet: &Fleet,
        number: u8,
        port: u16,
        options: &[(&str, String)],
    ) -> Result<Self, String> {
        let id = format!("i-{number:08x}");
        let address = |port| SocketAddr::new(fleet.ip(number).into(), port);
        let controls: Vec<String> = fleet.controls().iter().map(ToString::to_string).collect();
        let log = fleet.folder.join(format!("worker-{number}-{}", std::process::id()));
        let log = (0..).map(|run| log.with_extension(run.to_string())).find(|log| !log.exists());
        let log = log.unwrap_or_default();
        let file = File::create(&log).map_err(|error| error.to_string())?;
        let mut command = Command::new(std::env::current_exe().unwrap());
        command.arg("worker");
        for (key, value) in [
            ("id", id.clone()),
            ("listen", address(port).to_string()),
            ("address", address(8080).to_string()),
            ("controls", controls.join(",")),
            ("zone", "obb-rosenheim".to_string()),
        ]
        .iter()
        .chain(options)
        {
            command.arg(format!("{key}={value}"));
        }
        let process = command
            .stdin(Stdio::piped())
            .stdout(file)
            .spawn()
            .map_err(|error| error.to_string())?;
        Ok(Self { process, log, id })
    }

    fn tell(&mut self, command: &str) {
        if let Some(input) = &mut self.process.stdin {
            let _ = writeln!(input, "{command}");
        }
    }

    fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// The lines of the worker, without those about events.
    fn copy_log(&self, record: &Record) {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        for line in text.lines().filter(|line| !line.contains(" event ")) {
            record.line(format!("worker {} at unix ms {line}", self.id));
        }
    }

    /// The number of requests that the worker ran.
    fn run_count(&self) -> usize {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().filter(|line| line.contains(" runs ")).count()
    }

    /// The start of the worker, as it announces it.
    fn born(&self) -> u64 {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let born = text.lines().find_map(|line| line.split_once(" born ")?.1.parse().ok());
        born.unwrap_or_default()
    }

    /// The highest number of an event of `request` that the worker sent.
    fn last_event(&self, request: &str) -> u64 {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let events = text.lines().filter_map(|line| {
            let (_, event) = line.split_once(" event ")?;
            let (number, id) = event.split_once(" of ")?;
            (id == request).then(|| number.parse().ok())?
        });
        events.max().unwrap_or(0)
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.kill();
    }
}

fn request_id(number: usize) -> String {
    format!("{:016x}", 0x9c41_d07b_e2a3_0000_u64 + number as u64)
}

fn headers(id: &str, left_ms: u64) -> Vec<(&'static str, String)> {
    vec![
        ("Host", "ficu95.example".to_string()),
        ("Request-Id", id.to_string()),
        ("Deadline-Remaining", left_ms.to_string()),
        ("Authorization", format!("Token {KEY}")),
    ]
}

/// Number of engines. One of them is within the share of a disruption, a seventh.
const ENGINES: u8 = 7;

/// Events of a whole stream.
const PIECES: u64 = 64;

fn engine_options() -> Vec<(&'static str, String)> {
    vec![
        ("service", "huvo11a".to_string()),
        ("slots", "64".to_string()),
        ("mode", "stream".to_string()),
        ("framing", "none".to_string()),
        ("pieces", PIECES.to_string()),
        ("gap_ms", "80".to_string()),
        ("work_ms", "50".to_string()),
    ]
}

type StreamClient = JoinHandle<(String, std::io::Result<Answer>)>;

/// Starts one client for each of `count` streams, of different prompts.
fn start_streams(fleet: &Fleet, record: &Record, count: usize) -> Vec<StreamClient> {
    let start = |number: usize| {
        let (address, record) = (fleet.fronts[number % fleet.fronts.len()].front(), record.clone());
        std::thread::spawn(move || {
            let id = request_id(number);
            let mut headers = headers(&id, 15000);
            headers.push(("Model", "m".to_string()));
            headers.push(("Token-Counts", "1460,384".to_string()));
            let prompt = format!("5c1e07a2:800,{:x}:410,{:x}:250", 100 + number, 1000 + number);
            headers.push(("Prompt-Prefix", prompt));
            record.line(format!("client sends {id} to {address}"));
            let timeout = Duration::from_secs(16);
            let answer = http::call(address, "POST", "/reports/1", &headers, b"x", timeout);
            record.line(format!("client has of {id}: {}", describe(&answer)));
            (id, answer)
        })
    };
    (0..count).map(start).collect()
}

/// Returns how many streams end as complete before their last piece.
fn count_cut_streams(record: &Record, clients: Vec<StreamClient>, engines: &[Worker]) -> usize {
    let mut cut = 0;
    for client in clients {
        let Ok((id, Ok(answer))) = client.join() else {
            continue;
        };
        let pieces = event_numbers(&answer.body);
        let looks_complete = answer.status == 200 && answer.end == End::Whole;
        if looks_complete && pieces != (1..=PIECES).collect::<Vec<u64>>() {
            cut += 1;
            let sent = engines.iter().map(|engine| engine.last_event(&id)).max();
            record.line(format!(
                "{id} ends as complete with {} of {PIECES} pieces; its worker made {}",
                pieces.len(),
                sent.unwrap_or_default()
            ));
        }
    }
    cut
}

/// Returns the index of the engine that runs most requests.
fn busiest(engines: &[Worker]) -> usize {
    (0..engines.len()).max_by_key(|index| engines[*index].run_count()).unwrap_or_default()
}

/// A worker that leaves is taken away two seconds after its notice, while it answers streams that
/// have neither a length nor chunks. The streams may be resumed.
fn cut_stream(record: &Record, is_troubled: bool) -> Result<bool, String> {
    const STREAMS: usize = 28;
    let fleet = Fleet::start(&repository(), 2)?;
    let routes = [fleet::route("reports", "streaming", "huvo11a", 15000, true)];
    fleet.put(&fleet::document(7, &routes))?;
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        engines.push(Worker::start(&fleet, 201 + number, 8080, &engine_options())?);
    }
    fleet.wait_ready()?;
    std::thread::sleep(CONTACT);
    let clients = start_streams(&fleet, record, STREAMS);
    std::thread::sleep(Duration::from_millis(1000));
    let leaving = busiest(&engines);
    engines[leaving].tell("drain");
    record.line(format!("worker {} is told to leave", engines[leaving].id));
    std::thread::sleep(Duration::from_millis(2000));
    if is_troubled {
        engines[leaving].kill();
        record.line(format!("worker {} is gone, 2 s after its notice", engines[leaving].id));
    }
    let cut = count_cut_streams(record, clients, &engines);
    engines.iter().for_each(|engine| engine.copy_log(record));
    record.line(format!("{cut} of {STREAMS} streams end as complete before their last piece"));
    Ok(cut > 0)
}

/// A worker is partitioned from all machines for 1.5 s, crashes behind the cut and starts again,
/// while it answers streams that have neither a length nor chunks and may not be resumed.
fn reborn(record: &Record, is_troubled: bool) -> Result<bool, String> {
    const STREAMS: usize = 28;
    const ADVERTISED: u16 = 8080;
    const BEHIND_PROXY: u16 = 8081;
    let fleet = Fleet::start(&repository(), 2)?;
    let routes = [fleet::route("reports", "streaming", "huvo11a", 15000, false)];
    fleet.put(&fleet::document(7, &routes))?;
    let (mut engines, mut proxies) = (Vec::new(), Vec::new());
    for number in 0..ENGINES {
        let address = |port| SocketAddr::new(fleet.ip(201 + number).into(), port);
        proxies.push(Proxy::start(address(ADVERTISED), address(BEHIND_PROXY))?);
        engines.push(Worker::start(&fleet, 201 + number, BEHIND_PROXY, &engine_options())?);
    }
    fleet.wait_ready()?;
    std::thread::sleep(CONTACT);
    let clients = start_streams(&fleet, record, STREAMS);
    std::thread::sleep(Duration::from_millis(2000));
    let cut_off = busiest(&engines);
    let number = 201 + cut_off as u8;
    record.line(format!("worker {} is cut off from all machines", engines[cut_off].id));
    proxies[cut_off].set_cut(is_troubled);
    if is_troubled {
        engines[cut_off].tell("quiet");
        std::thread::sleep(Duration::from_millis(300));
        engines[cut_off].kill();
        record.line("it crashes behind the cut");
        std::thread::sleep(Duration::from_millis(500));
        let mut options = engine_options();
        options.push(("quiet_ms", "700".to_string()));
        let again = Worker::start(&fleet, number, BEHIND_PROXY, &options)?;
        engines.push(again);
        record.line("it starts again behind the cut");
        std::thread::sleep(Duration::from_millis(700));
        proxies[cut_off].set_cut(false);
        record.line("the cut heals, 1.5 s after it began");
    }
    let cut = count_cut_streams(record, clients, &engines);
    engines.iter().for_each(|engine| engine.copy_log(record));
    record.line(format!("{cut} of {STREAMS} streams end as complete before their last piece"));
    Ok(cut > 0)
}

fn describe(answer: &std::io::Result<Answer>) -> String {
    match answer {
        Ok(answer) => format!(
            "{}, {} bytes, {} events, end: {:?}",
            answer.status,
            answer.body.len(),
            event_numbers(&answer.body).len(),
            answer.end
        ),
        Err(error) => format!("no answer: {error}"),
    }
}

fn event_numbers(body: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(body);
    text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
}

/// Sends a stream request of the prompt `number`.
fn send_stream(
    record: &Record,
    address: SocketAddr,
    number: usize,
    version: Option<&str>,
) -> std::io::Result<Answer> {
    let id = request_id(number);
    let mut headers = headers(&id, 2500);
    headers.push(("Model", "m".to_string()));
    headers.push(("Token-Counts", "1460,20".to_string()));
    let prompt = format!("5c1e07a2:800,{:x}:410,{:x}:250", 100 + number, 1000 + number);
    headers.push(("Prompt-Prefix", prompt));
    if let Some(version) = version {
        headers.push(("Expect-Version", version.to_string()));
    }
    let answer = http::call(address, "POST", "/reports/1", &headers, b"x", Duration::from_secs(3));
    let version = version.map_or(String::new(), |version| format!(" for version {version}"));
    record.line(format!("{id}{version} to {address}: {}", describe(&answer)));
    answer
}

/// Requests of each kind, one every 250 ms, that show which kinds are served.
const TRIALS: usize = 60;

/// Starts engines with short streams, and plain workers, behind two fronts.
fn start_both_kinds() -> Result<(Fleet, Vec<Worker>), String> {
    let fleet = Fleet::start(&repository(), 2)?;
    let routes = [
        fleet::route("reports", "streaming", "huvo11a", 2500, true),
        fleet::route("bookings", "unsafe", "wuno96b", 3000, false),
    ];
    fleet.put(&fleet::document(7, &routes))?;
    let mut workers = Vec::new();
    let mut options = engine_options();
    options.retain(|(key, _)| !["framing", "pieces", "gap_ms"].contains(key));
    options.push(("framing", "chunked".to_string()));
    options.push(("pieces", "4".to_string()));
    options.push(("gap_ms", "20".to_string()));
    for number in 0..ENGINES {
        workers.push(Worker::start(&fleet, 201 + number, 8080, &options)?);
    }
    let plain = [
        ("service", "wuno96b".to_string()),
        ("slots", "6".to_string()),
        ("mode", "plain".to_string()),
        ("framing", "length".to_string()),
        ("size", "800".to_string()),
        ("work_ms", "60".to_string()),
    ];
    for number in 208..=210 {
        workers.push(Worker::start(&fleet, number, 8080, &plain)?);
    }
    fleet.wait_ready()?;
    std::thread::sleep(CONTACT);
    Ok((fleet, workers))
}

/// Sends requests of both kinds by turns. Returns whether one kind is served less than a quarter as
/// often as all requests.
fn is_one_kind_starved(record: &Record, fleet: &Fleet) -> bool {
    let (mut streams, mut bookings) = (0, 0);
    for number in 0..TRIALS {
        let address = fleet.fronts[number % fleet.fronts.len()].front();
        let answer = send_stream(record, address, 100 + number, None);
        let is_served =
            |answer: &Answer| answer.status == 200 && event_numbers(&answer.body) == [1, 2, 3, 4];
        streams += usize::from(answer.is_ok_and(|answer| is_served(&answer)));
        let id = request_id(1000 + number);
        let timeout = Duration::from_secs(4);
        let answer = http::call(address, "POST", "/bookings/1", &headers(&id, 3000), b"x", timeout);
        record.line(format!("{id} to {address}: {}", describe(&answer)));
        bookings += usize::from(answer.is_ok_and(|answer| answer.status == 200));
        std::thread::sleep(Duration::from_millis(250));
    }
    let ready = fleet.fronts.iter().filter(|front| front.is_ready()).count();
    record.line(format!("{ready} of {} fronts say that they are ready", fleet.fronts.len()));
    record.line(format!("served: {streams} of {TRIALS} streams, {bookings} of {TRIALS} bookings"));
    let share = |served: usize, sent: usize| served as f64 / sent as f64;
    let all = share(streams + bookings, 2 * TRIALS);
    share(streams, TRIALS) < all / 4.0 || share(bookings, TRIALS) < all / 4.0
}

/// One client asks for a version of the weights that no engine has yet. Each engine that gets the
/// request answers 421, as it has to. All engines are sound.
fn other_version(record: &Record, is_troubled: bool) -> Result<bool, String> {
    /// Requests of that client to each front.
    const ASKED: usize = 3;
    let (fleet, workers) = start_both_kinds()?;
    for number in 0..ASKED * fleet.fronts.len() {
        let address = fleet.fronts[number % fleet.fronts.len()].front();
        let _ = send_stream(record, address, number, is_troubled.then_some("2"));
        std::thread::sleep(Duration::from_millis(300));
    }
    std::thread::sleep(Duration::from_secs(2));
    let is_starved = is_one_kind_starved(record, &fleet);
    workers.iter().for_each(|worker| worker.copy_log(record));
    Ok(is_starved)
}

/// Another writer announces something at the addresses of the engines, as a service that no desired
/// state names. All engines are sound and announce themselves all the while.
fn other_writer(record: &Record, is_troubled: bool) -> Result<bool, String> {
    let (fleet, workers) = start_both_kinds()?;
    let addresses: Vec<SocketAddr> = (0..ENGINES)
        .filter(|_| is_troubled)
        .map(|number| SocketAddr::new(fleet.ip(201 + number).into(), 8080))
        .collect();
    let (controls, writer) = (fleet.controls(), record.clone());
    let born = worker::unix_millis();
    std::thread::spawn(move || {
        for sequence in 1.. {
            for (number, address) in addresses.iter().enumerate() {
                let body = format!(
                    "{{\"service\":\"node-metrics\",\"address\":\"{address}\",\"zone\":\
                     \"obb-rosenheim\",\"version\":\"v1\",\"slots\":1,\"state\":\"ready\",\
                     \"cold-remaining-ms\":0,\"seq\":{sequence},\"born\":{born}}}"
                );
                let path = format!("/v1/workers/metrics-{number}");
                let control = controls[number % controls.len()];
                let fields = [("Content-Type", "application/json".to_string())];
                let timeout = Duration::from_secs(1);
                let answer = http::call(control, "PUT", &path, &fields, body.as_bytes(), timeout);
                if sequence == 1 {
                    let answer = describe(&answer);
                    writer.line(format!("another writer sends PUT {path} {body}: {answer}"));
                }
            }
            std::thread::sleep(Duration::from_millis(1200));
        }
    });
    std::thread::sleep(Duration::from_secs(4));
    let is_starved = is_one_kind_starved(record, &fleet);
    workers.iter().for_each(|worker| worker.copy_log(record));
    Ok(is_starved)
}

/// All processes are killed right after a worker's leave was acknowledged, and are back 2 s later.
/// The worker goes on serving for some seconds and says in its answers that it leaves.
fn lost_leave(record: &Record, is_troubled: bool) -> Result<bool, String> {
    const DOWN: Duration = Duration::from_secs(2);
    /// Time after the return of all processes from which they are in touch, `contact-ms`.
    const IN_TOUCH: Duration = Duration::from_millis(3100);
    const REQUESTS: usize = 24;
    let (mut fleet, mut workers) = start_both_kinds()?;
    let leaving = workers.len() - 1;
    workers[leaving].tell("leaving");
    std::thread::sleep(Duration::from_millis(200));
    let path = format!("/v1/workers/{}", workers[leaving].id);
    let fields = [("Content-Type", "application/json".to_string())];
    let body = format!("{{\"born\":{}}}", workers[leaving].born());
    let control = fleet.cores[0].control();
    let timeout = Duration::from_secs(1);
    let answer = http::call(control, "DELETE", &path, &fields, body.as_bytes(), timeout);
    let acknowledged_at = Instant::now();
    if is_troubled {
        let machines = fleet.cores.iter_mut().chain(&mut fleet.fronts);
        machines.for_each(Machine::kill);
    }
    record.line(format!("DELETE {path} {body}: {}", describe(&answer)));
    record.line(format!("all processes are killed: {is_troubled}"));
    if !answer.is_ok_and(|answer| answer.status == 200) {
        return Err("the leave was not acknowledged".into());
    }
    std::thread::sleep(DOWN);
    if is_troubled {
        fleet.cores.iter_mut().chain(&mut fleet.fronts).for_each(Machine::start);
        record.line("all processes are started again");
    }
    std::thread::sleep(IN_TOUCH);
    let run_before = workers[leaving].run_count();
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let (address, record) = (fleet.fronts[number % 2].front(), record.clone());
            std::thread::spawn(move || {
                let id = request_id(number);
                let (headers, timeout) = (headers(&id, 3000), Duration::from_secs(4));
                let answer = http::call(address, "POST", "/bookings/1", &headers, b"x", timeout);
                record.line(format!("{id} to {address}: {}", describe(&answer)));
            })
        })
        .collect();
    record.line(format!(
        "{REQUESTS} requests are sent {:.1} s after the acknowledgement",
        acknowledged_at.elapsed().as_secs_f64()
    ));
    clients.into_iter().for_each(|client| drop(client.join()));
    let run = workers[leaving].run_count() - run_before;
    workers.iter().for_each(|worker| worker.copy_log(record));
    record.line(format!("{run} of {REQUESTS} requests reached the worker that had left"));
    Ok(run > 0)
}

/// Memory of a front machine in the sheets, 260 MB, read as 2^20 bytes each, in 10^6 bytes.
const MEMORY_MB: f64 = 260.0 * 1.048_576;

/// Clients of one zone in the sheets, all at one front.
const USERS: usize = 28;

/// Largest burst of the site file: 2.5 times the usual, for 5.4 s.
const BURST: f64 = 2.5;
const BURST_LENGTH: Duration = Duration::from_millis(5400);

/// Starts of the bursts after the start of traffic, in seconds.
const BURSTS_AT: [u64; 5] = [6, 20, 34, 48, 62];

/// Counts of one client: answered, refused with 503, answered otherwise, not answered.
type Counts = [usize; 4];

/// A client that sends one upload of 4 MiB, the limit of the document, every 2.8 s over a kept
/// channel. All of them together stay under nine tenths of the front's link.
struct Uploader {
    number: usize,
    address: SocketAddr,
    body: Arc<Vec<u8>>,
    record: Record,
}

impl Uploader {
    const PERIOD: Duration = Duration::from_millis(2800);

    fn run(&self, begin: Instant, until: Instant) -> Counts {
        let mut counts = [0; 4];
        let mut kept: Option<Channel> = None;
        let mut next = begin;
        for count in 0.. {
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
            if Instant::now() >= until {
                break;
            }
            next = Instant::now() + Self::PERIOD;
            let id = request_id(self.number * 1000 + count);
            let request = http::request("POST", "/bookings/1", &headers(&id, 3000), &self.body);
            let opened = kept.take().map_or_else(|| Channel::open(self.address), Ok);
            let answer = opened.and_then(|mut channel| {
                channel.send(&request)?;
                let answer = channel.answer(Duration::from_secs(3), None)?;
                kept = Some(channel).filter(|_| answer.header("connection") != Some("close"));
                Ok(answer)
            });
            let index = match &answer {
                Ok(answer) if answer.status == 200 && answer.end == End::Whole => 0,
                Ok(answer) if answer.status == 503 => 1,
                Ok(_) => 2,
                Err(_) => 3,
            };
            counts[index] += 1;
            let text = describe(&answer);
            self.record.line(format!("{id} to {}: {text}", self.address));
        }
        counts
    }
}

/// Many users come at once and upload. As the platform does, a process that uses more than its
/// memory is killed and started again.
fn uploads(record: &Record, is_troubled: bool) -> Result<bool, String> {
    const FRONTS: usize = 2;
    const RESTART_DELAY: Duration = Duration::from_millis(500);
    const MAX_ENDS: usize = 3;
    let mut fleet = Fleet::start(&repository(), FRONTS as u8)?;
    let routes = [fleet::route("bookings", "unsafe", "wuno96b", 3000, false)];
    fleet.put(&fleet::document(7, &routes))?;
    let options = [
        ("service", "wuno96b".to_string()),
        ("slots", "6".to_string()),
        ("mode", "plain".to_string()),
        ("framing", "length".to_string()),
        ("size", "800".to_string()),
        ("work_ms", "60".to_string()),
    ];
    let mut workers = Vec::new();
    for number in 201..=204 {
        workers.push(Worker::start(&fleet, number, 8080, &options)?);
    }
    fleet.wait_ready()?;
    std::thread::sleep(CONTACT);
    let body: Arc<Vec<u8>> = Arc::new(vec![b'x'; 4_194_304]);
    let start = Instant::now();
    let end = start + Duration::from_secs(72);
    let mut clients = Vec::new();
    let mut spawn = |front: usize, share: f64, begin: Instant, until: Instant| {
        let (number, body, record) = (clients.len(), body.clone(), record.clone());
        let uploader = Uploader { number, address: fleet.fronts[front].front(), body, record };
        // The clients begin at different times.
        let begin = begin + Uploader::PERIOD.mul_f64(share);
        clients.push(std::thread::spawn(move || uploader.run(begin, until)));
    };
    let guests = (USERS as f64 * (BURST - 1.0)) as usize;
    for front in 0..FRONTS {
        for user in 0..USERS {
            spawn(front, user as f64 / USERS as f64, start, end);
        }
        for at in BURSTS_AT.iter().filter(|_| is_troubled) {
            let begin = start + Duration::from_secs(*at);
            for guest in 0..guests {
                let share = guest as f64 / guests as f64;
                spawn(front, share, begin, begin + BURST_LENGTH);
            }
        }
    }
    let mut ends = [0; FRONTS];
    let mut peaks = [0.0_f64; FRONTS];
    let mut killed_at: [Option<Instant>; FRONTS] = [None; FRONTS];
    while Instant::now() < end + Duration::from_secs(3) {
        for (index, front) in fleet.fronts.iter_mut().enumerate() {
            if let Some(at) = killed_at[index] {
                if at.elapsed() > RESTART_DELAY {
                    front.start();
                    killed_at[index] = None;
                }
                continue;
            }
            let resident = front.resident_mb();
            peaks[index] = peaks[index].max(resident);
            if resident > MEMORY_MB {
                front.kill();
                killed_at[index] = Some(Instant::now());
                ends[index] += 1;
                record.line(format!("{} uses {resident:.0} MB and is killed", front.name));
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let mut totals = [0; 4];
    for client in clients {
        let counts = client.join().map_err(|_| "a client failed")?;
        totals.iter_mut().zip(counts).for_each(|(total, count)| *total += count);
    }
    let run: usize = workers.iter().map(Worker::run_count).sum();
    record.line(format!(
        "answered {}, refused with 503 {}, answered otherwise {}, not answered {}; the workers ran \
         {run} requests",
        totals[0], totals[1], totals[2], totals[3]
    ));
    record
        .line(format!("most memory {peaks:.0?} MB of {MEMORY_MB}; processes ended {ends:?} times"));
    Ok(ends.iter().filter(|ends| **ends >= MAX_ENDS).count() >= 2)
}

/// Clients read large answers more slowly than the worker writes them.
fn slow_reader(record: &Record, is_troubled: bool) -> Result<bool, String> {
    const CLIENTS: usize = 8;
    let size: usize = std::env::var("SIZE").ok().and_then(|t| t.parse().ok()).unwrap_or(8 << 20);
    let fleet = Fleet::start(&repository(), 2)?;
    let routes = [fleet::route("albums", "unsafe", "wuno96b", 20000, false)];
    fleet.put(&fleet::document(7, &routes))?;
    let options = [
        ("service", "wuno96b".to_string()),
        ("slots", "6".to_string()),
        ("mode", "plain".to_string()),
        ("framing", "length".to_string()),
        ("size", "800".to_string()),
        ("large_size", size.to_string()),
        ("work_ms", "60".to_string()),
    ];
    let mut workers = Vec::new();
    for number in 201..=203 {
        workers.push(Worker::start(&fleet, number, 8080, &options)?);
    }
    fleet.wait_ready()?;
    std::thread::sleep(CONTACT);
    let pace = Pace { bytes: 65536, pause: Duration::from_millis(30) };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (address, record) = (fleet.fronts[number % 2].front(), record.clone());
            std::thread::spawn(move || {
                let Ok(mut channel) = Channel::open(address) else {
                    return false;
                };
                let mut is_cut = false;
                for (count, path) in ["/albums/small", "/albums/large"].into_iter().enumerate() {
                    let id = request_id(number * 16 + count);
                    let request = http::request("POST", path, &headers(&id, 20000), b"x");
                    record.line(format!("client sends {id} {path} to {address}"));
                    let pace = (is_troubled && count == 1).then_some(pace);
                    let sent = channel.send(&request);
                    let answer = sent.and_then(|()| channel.answer(Duration::from_secs(20), pace));
                    record.line(format!("client has of {id}: {}", describe(&answer)));
                    is_cut = !answer.is_ok_and(|answer| answer.end == End::Whole);
                }
                is_cut
            })
        })
        .collect();
    let cut = clients.into_iter().map(|client| client.join().unwrap_or_default());
    let cut = cut.filter(|is_cut| *is_cut).count();
    workers.iter().for_each(|worker| worker.copy_log(record));
    record.line(format!("{cut} of {CLIENTS} answers were cut"));
    Ok(cut > 3)
}
