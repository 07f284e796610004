//! The cases. Each returns 1 if the rule was broken, 0 if it held, and 2 if it could not run.

mod crowd;
mod deadly;
mod evacuation;
mod late;
mod reborn;

use crate::fleet::{Deployment, Fleet};
use crate::record::Record;
use crate::worker::{Answers, Setup, Worker};

pub fn run(name: &str, folder: &str) -> i32 {
    let record = Record::create(folder);
    // Without the disruption the rule has to hold.
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(format!("case {name}, disruption: {has_trouble}"));
    let code = match name {
        "crowd" => crowd::run(&record, has_trouble),
        "deadly-request" => deadly::run(&record, has_trouble, deadly::Deadly::Request),
        "deadly-part" => deadly::run(&record, has_trouble, deadly::Deadly::Part),
        "late" => late::run(&record, has_trouble),
        "reborn" => reborn::run(&record, has_trouble),
        "evacuation" => evacuation::run(&record, has_trouble),
        _ => 2,
    };
    let outcome = ["the rule held", "the rule was broken", "the case could not run"];
    record.line(outcome[code as usize]);
    code
}

/// API key of the client account.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Host of all routes.
pub const HOST: &str = "ficu95.example";

/// Returns a deployment like those of `sites/`: three zones, the loss of one disk.
pub fn small_deployment() -> Deployment {
    Deployment {
        zones: ["zone-a", "zone-b", "zone-c"].map(str::to_string).to_vec(),
        fronts: 3,
        cores: 3,
        losses_borne: 1,
        repeat_extra: 52,
        front_memory: 260,
        front_link: 1000.0,
        core_link: 6.0,
        cold: None,
    }
}

/// Returns the desired state `version` with a route of each kind.
pub fn document(version: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, resumes: bool| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"path-prefix\":\"/{name}/\",\"kind\":\
             \"{kind}\",\"timeout-ms\":12000,\"objective-ms\":1200,\"priority\":0,\"service\":\
             \"{service}\",\"attempts\":2,\"anonymous-access\":false,\"session-affinity\":{},\
             \"resume-streams\":{resumes},\"gap-target-ms\":250}}",
            kind == "streaming"
        )
    };
    let routes = [
        route("chat", "streaming", "engines", true),
        route("report", "streaming", "engines", false),
        route("book", "unsafe", "app", false),
        route("look", "safe", "app", false),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"engines\",\
         \"health-path\":\"/health\",\"connection-limit\":610,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":128,\"cache-capacity-tokens\":849553,\"kv-bytes\":35136,\
         \"link-mbps\":550000.0,\"moves\":true,\"backups\":true,\"stride\":6,\"most\":2,\"pin-ms\":\
         4000.0,\"hold-ms\":2000.0,\"handle-s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}},{{\"name\":\
         \"app\",\"health-path\":\"/health\",\"connection-limit\":96,\"protocol\":\"h1\",\"tls\":\
         false}}],\"limits\":{{\"header-bytes\":16384,\"body-bytes\":4194304,\"header-timeout-ms\":\
         3000,\"idle-timeout-ms\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"api-keys\":\
         [\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

/// Returns the identifier of a lifetime of a worker. Each start has a new one.
pub fn worker_id(number: usize, lifetime: usize) -> String {
    format!("i-7f3a{:04x}", number * 256 + lifetime)
}

/// Returns a deployment like `ashby-markets-grown`, with few fronts.
pub fn ashby_deployment() -> Deployment {
    Deployment {
        zones: ["midlands-a", "midlands-b", "midlands-c"].map(str::to_string).to_vec(),
        fronts: 3,
        cores: 6,
        losses_borne: 2,
        repeat_extra: 182,
        front_memory: 160,
        front_link: 10.0,
        core_link: 6.0,
        cold: Some((1.5, 5.0)),
    }
}

/// Starts a worker.
pub fn start_worker(
    fleet: &Fleet,
    record: &Record,
    number: usize,
    role: (&str, &str),
    answers: Answers,
) -> Worker {
    start(fleet, record, worker_setup(fleet, number, role, answers))
}

pub fn start(fleet: &Fleet, record: &Record, setup: Setup) -> Worker {
    Worker::start(setup, record).unwrap_or_else(|_| fleet.cannot_run("a worker does not start"))
}

/// Returns the setup of a worker of a service in a zone.
pub fn worker_setup(
    fleet: &Fleet,
    number: usize,
    (service, zone): (&str, &str),
    answers: Answers,
) -> Setup {
    Setup {
        id: worker_id(number, 0),
        service: service.to_string(),
        zone: zone.to_string(),
        address: fleet.worker_address(number),
        listen: fleet.worker_address(number),
        held_ms: 0,
        slots: if service == "app" { 6 } else { 128 },
        answers,
        controls: fleet.controls(),
    }
}

/// Waits until `is_done`, at most `seconds`. Returns whether it is done.
pub fn wait<F>(seconds: f64, is_done: F) -> bool
where
    F: Fn() -> bool,
{
    let until = std::time::Instant::now() + std::time::Duration::from_secs_f64(seconds);
    while std::time::Instant::now() < until {
        if is_done() {
            return true;
        }
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    is_done()
}
