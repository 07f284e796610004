//! Odd documents and announcements beside sound ones. All processes stay up, and all requests are
//! served.

#![allow(clippy::unwrap_used)]

mod support;

use serde_json::json;
use support::machines::{KEY, Machine, Machines, document, put_document};
use support::wait_for;
use support::worker::{HttpResponse, Worker, send_request};

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
