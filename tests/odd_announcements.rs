//! Odd entries that another writer leaves beside sound ones: deeply nested, with numbers too large,
//! or with a port out of range. All processes stay up and follow, and all requests are served.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::json;
use support::machines::{KEY, Machine, Machines, document, put_document};
use support::wait_for;
use support::worker::{HttpResponse, Worker, send_request};

/// Largest response to an odd entry.
const MAX_ANSWER_BYTES: usize = 4096;

/// How long odd entries arrive again and again.
const ODD_ENTRIES_DURATION: Duration = Duration::from_secs(4);

/// Time after the damage of a data folder within which all is served again.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(12);

fn ask(machine: &Machine, path: &str) -> std::io::Result<HttpResponse> {
    let key = format!("Token {KEY}");
    let headers = [("Authorization", key.as_str()), ("Request-Id", "odd")];
    send_request(machine.callers(), "GET", path, &headers, "")
}

fn assert_served(machines: &Machines, path: &str, after: &str) {
    for machine in &machines.entries {
        let answer = ask(machine, path);
        let is_served = answer.as_ref().is_ok_and(|answer| answer.status == 200);
        assert!(is_served, "{after}: {answer:?}");
    }
}

fn assert_all_run(machines: &mut Machines, after: &str) {
    for machine in machines.controls.iter_mut().chain(&mut machines.entries) {
        let has_ended = machine.process().has_ended();
        let text = machine.log_text();
        let panic = text.lines().skip_while(|line| !line.contains("panicked")).take(2);
        assert!(!has_ended, "{after}: {} ended: {:?}", machine.ip, panic.collect::<Vec<_>>());
    }
}

fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Returns an announcement at an address where nothing listens, with `field` changed to `value`.
fn announcement(field: &str, value: &str) -> String {
    let whole = json!({
        "service": "shop", "address": "127.0.0.1:9", "zone": "giza", "version": "v1", "slots": 8,
        "state": "ready", "cold-remaining-ms": 0, "seq": 1, "born": 1000,
    });
    let (mut odd, place) = (whole, "VALUE");
    odd[field] = json!(place);
    odd.to_string().replace(&format!("\"{place}\""), value)
}

/// Returns the odd entries, each with the reason why it is refused.
fn odd_entries() -> Vec<(&'static str, String)> {
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    let born = "starts later than the clock";
    vec![
        ("announcement", nested.clone()),
        ("announcement", "{\"odd\":".repeat(100_000)),
        ("announcement", announcement("service", &nested)),
        ("announcement", announcement("service", &format!("\"{}\"", "s".repeat(200_000)))),
        ("announcement", announcement("state", &format!("\"{}\"", "r".repeat(200_000)))),
        ("address", announcement("address", "\"127.0.0.1:65536\"")),
        ("address", announcement("address", "\"127.0.0.1:0\"")),
        ("address", announcement("address", "\"0.0.0.0:9\"")),
        ("address", announcement("address", "\"255.255.255.255:9\"")),
        ("address", announcement("address", "\"224.0.0.1:9\"")),
        ("address", announcement("address", "\"[::]:9\"")),
        ("announcement", announcement("slots", "4294967296")),
        ("slots", announcement("slots", "4294967295")),
        ("announcement", announcement("seq", "18446744073709551616")),
        ("sequence", announcement("seq", "18446744073709551615")),
        ("announcement", announcement("born", "1e30")),
        (born, announcement("born", "18446744073709551615")),
        (born, announcement("born", &(unix_millis() * 1000).to_string())),
    ]
}

#[test]
fn odd_entries_beside_sound_ones_end_no_process_and_replace_no_upstream() {
    let mut machines = Machines::start(3, 2);
    let shop = Worker::start("i-shop", "shop", machines.seeds());
    machines.put_document_until_acknowledged(&document(5));
    machines.wait_ready(5);
    for machine in &machines.entries {
        wait_for("the upstream at an entry instance", || {
            ask(machine, "/albums/1").ok().filter(|answer| answer.status == 200)
        });
    }
    let end = Instant::now() + ODD_ENTRIES_DURATION;
    let mut rounds = 0;
    while Instant::now() < end || rounds == 0 {
        for (reason, body) in odd_entries() {
            let shown: String = body.chars().take(200).collect();
            for (control, name) in machines.controls.iter().zip(["i-shop", "i-odd", "i-shop"]) {
                let path = format!("/v1/workers/{name}");
                let answer = send_request(control.control(), "PUT", &path, &[], &body).unwrap();
                assert_eq!(answer.status, 400, "{shown}: {}", answer.text());
                assert!(answer.text().contains(reason), "{shown}: {}", answer.text());
                assert!(answer.body.len() <= MAX_ANSWER_BYTES, "{shown}");
            }
            assert_served(&machines, "/albums/1", &shown);
        }
        let mut endless = document(6);
        endless["routes"][0]["kind"] = json!("k".repeat(60_000));
        endless["routes"][1]["path-prefix"] = json!("p".repeat(60_000));
        for control in &machines.controls {
            let answer = put_document(control.control(), &endless.to_string()).unwrap();
            assert_eq!(answer.status, 400);
            assert!(answer.body.len() <= MAX_ANSWER_BYTES, "{} bytes", answer.body.len());
            endless["routes"][0]["kind"] = json!("safe");
        }
        let leave = json!({ "born": u64::MAX }).to_string();
        for control in &machines.controls {
            let path = "/v1/workers/i-shop";
            let answer = send_request(control.control(), "DELETE", path, &[], &leave).unwrap();
            assert_eq!(answer.status, 400, "{}", answer.text());
        }
        assert_served(&machines, "/albums/1", "leave");
        assert_all_run(&mut machines, "odd entries");
        rounds += 1;
    }
    drop(shop);
    let late = Worker::start("i-late", "shop", machines.seeds());
    machines.put_document_until_acknowledged(&document(6));
    machines.wait_document_in_force(6);
    wait_for("a request at the upstream that came later", || {
        machines.entries.iter().for_each(|machine| drop(ask(machine, "/albums/2")));
        (!late.executed_requests().is_empty()).then_some(())
    });
    assert_all_run(&mut machines, "a later upstream");
}

#[test]
fn a_document_with_spans_that_no_clock_holds_ends_no_entry_instance() {
    let mut machines = Machines::start(3, 2);
    let _shop = Worker::start("i-shop", "shop", machines.seeds());
    let _engine = Worker::start("i-engine", "engines", machines.seeds());
    for (number, millis) in [(5, "9.3e21"), (6, "18446744073709551615"), (7, "1e300")] {
        let mut document = document(number);
        for route in document["routes"].as_array_mut().unwrap() {
            for field in ["timeout-ms", "objective-ms", "gap-target-ms"] {
                route[field] = json!("SPAN");
            }
        }
        for field in ["header-timeout-ms", "idle-timeout-ms"] {
            document["limits"][field] = json!("SPAN");
        }
        let text = document.to_string().replace("\"SPAN\"", millis);
        wait_for("the acknowledgement of a document", || {
            let answer = put_document(machines.controls[0].control(), &text).ok()?;
            (answer.status == 200).then_some(())
        });
        machines.wait_ready(number);
        wait_for("an answer", || {
            assert_all_run(&mut machines, millis);
            let answer = ask(&machines.entries[0], "/albums/1").ok()?;
            (answer.status == 200).then_some(())
        });
        for _ in 0..5 {
            assert_served(&machines, "/albums/1", millis);
            assert_served(&machines, "/captions/1", millis);
        }
        assert_all_run(&mut machines, millis);
    }
}

#[test]
fn a_damaged_cache_on_disk_ends_no_control_instance() {
    let mut machines = Machines::start(3, 1);
    let shop = Worker::start("i-shop", "shop", machines.seeds());
    machines.put_document_until_acknowledged(&document(5));
    machines.wait_ready(5);
    let damages: [fn(Vec<u8>) -> Vec<u8>; 5] = [
        |_| Vec::new(),
        |bytes| bytes[..bytes.len() / 2].to_vec(),
        |bytes| bytes.iter().map(|byte| byte ^ 0x40).collect(),
        |bytes| vec![0xff; bytes.len()],
        |mut bytes| {
            let middle = bytes.len() / 2;
            bytes[middle] ^= 1;
            bytes
        },
    ];
    let mut rounds = 0;
    for damage in damages {
        for control in &mut machines.controls {
            let folder = control.settings().with_file_name("data").join("feed");
            wait_for("the cache on disk", || {
                ["document", "upstreams"]
                    .iter()
                    .all(|file| folder.join(file).exists())
                    .then_some(())
            });
            control.kill();
            for file in ["document", "upstreams"] {
                let bytes = std::fs::read(folder.join(file)).unwrap();
                std::fs::write(folder.join(file), damage(bytes)).unwrap();
            }
        }
        let (seeds, started) = (machines.seeds(), Instant::now());
        for control in &mut machines.controls {
            control.write_settings(&seeds, false);
            control.start();
        }
        machines.entries[0].kill();
        machines.entries[0].start();
        let served = shop.executed_requests().len();
        wait_for("an answer after the damage", || {
            assert_all_run(&mut machines, "a damaged cache");
            let answer = ask(&machines.entries[0], "/albums/1").ok()?;
            (answer.status == 200).then_some(())
        });
        assert!(started.elapsed() < MAX_RECOVERY_TIME, "{:?}", started.elapsed());
        assert!(shop.executed_requests().len() > served);
        rounds += 1;
        for control in &machines.controls {
            for cached in ["cannot read the cached document", "cannot read the cached upstreams"] {
                let count = control.log_text().matches(cached).count();
                assert_eq!(count, rounds, "{}: {cached}", control.ip);
            }
        }
    }
}
