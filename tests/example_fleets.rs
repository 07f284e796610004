//! Runs the fleets of the examples on loopback addresses, and checks that every instance serves
//! requests.

#![allow(clippy::unwrap_used, clippy::panic)]

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;

use serde_json::Value;
use support::{
    API_KEY, Answer, PROGRAM, Process, booking, chat, count_executions, expected_answer,
    free_address, get, key_hash, post, revision_with_token, streamed_text, wait_for,
};
use tempfile::TempDir;
use test_case::test_case;

const EXAMPLE_DATA_FOLDER: &str = "/var/lib/turmericrelay";
const OPERATOR_TOKEN: &str = "replace-with-an-operator-token";
const UPSTREAM_TOKEN: &str = "replace-with-another-random-text";
const ANSWER_WORDS: usize = 12;

/// Properties in which the examples differ.
struct Example {
    name: &'static str,
    data_centres: usize,
    model: &'static str,
    chat_service: &'static str,
    booking_service: &'static str,
    account: &'static str,
}

const NASR: Example = Example {
    name: "nasr",
    data_centres: 3,
    model: "caption-relay",
    chat_service: "survey-report",
    booking_service: "shop",
    account: "delta-survey-office",
};

const WINTERDIENST: Example = Example {
    name: "winterdienst",
    data_centres: 4,
    model: "road-language",
    chat_service: "crew-answers",
    booking_service: "rota",
    account: "kreis-toelz",
};

struct Instance {
    name: String,
    data_centre: String,
    callers: SocketAddr,
    operators: SocketAddr,
    _process: Process,
}

struct ExampleFleet {
    example: Example,
    folder: TempDir,
    instances: Vec<Instance>,
    upstreams: Vec<Process>,
}

fn example_folder(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("examples").join(name)
}

/// Returns the addresses that stand in quotes in `text`.
fn addresses(text: &str) -> impl Iterator<Item = &str> {
    text.split('"').filter(|part| part.parse::<SocketAddr>().is_ok())
}

/// Returns the value of the first field called `name` that stands on a line of its own.
fn field<'a>(text: &'a str, name: &str) -> &'a str {
    let lines = text.lines().map(str::trim);
    let value = lines.filter_map(|line| line.strip_prefix(name)?.strip_prefix(": ")).next();
    value.unwrap_or_else(|| panic!("no field {name}")).trim_matches('"')
}

/// Returns the settings of each instance of an example, with loopback addresses and with data
/// folders in `folder`.
fn loopback_settings(example: &Example, folder: &Path) -> Vec<String> {
    let entries = std::fs::read_dir(example_folder(example.name).join("settings")).unwrap();
    let mut paths: Vec<PathBuf> = entries.map(|entry| entry.unwrap().path()).collect();
    paths.sort();
    let texts: Vec<String> =
        paths.iter().map(|path| std::fs::read_to_string(path).unwrap()).collect();
    let example_addresses = texts.iter().flat_map(|text| addresses(text));
    let replacements: BTreeMap<&str, SocketAddr> =
        example_addresses.map(|address| (address, free_address())).collect();
    let with_loopback_addresses = |text: &String| {
        let data_folder = folder.join(field(text, "instance")).display().to_string();
        let text = text.replace(EXAMPLE_DATA_FOLDER, &data_folder);
        replacements.iter().fold(text, |text, (from, to)| {
            text.replace(&format!("\"{from}\""), &format!("\"{to}\""))
        })
    };
    texts.iter().map(with_loopback_addresses).collect()
}

/// Returns the declarations of an example, with the key of one account replaced by the tests' key.
fn declarations_with_test_key(example: &Example) -> String {
    let text = std::fs::read_to_string(example_folder(example.name).join("declarations.yaml"));
    let text = text.unwrap();
    let (before, account) = text.split_once(&format!("- name: {}\n", example.account)).unwrap();
    let hash = account.split(['[', ']']).nth(1).unwrap();
    let account = account.replacen(hash, &key_hash(API_KEY), 1);
    format!("{before}- name: {}\n{account}", example.account)
}

impl ExampleFleet {
    fn start(example: Example) -> Self {
        let folder = TempDir::new().unwrap();
        let mut instances = Vec::new();
        for text in loopback_settings(&example, folder.path()) {
            let name = field(&text, "instance").to_string();
            let settings = folder.path().join(format!("{name}.yaml"));
            std::fs::write(&settings, &text).unwrap();
            let arguments = ["serve", "--settings", settings.to_str().unwrap()].map(String::from);
            instances.push(Instance {
                data_centre: field(&text, "data_centre").to_string(),
                callers: field(&text, "callers").parse().unwrap(),
                operators: field(&text, "operators").parse().unwrap(),
                _process: Process::start(&arguments, folder.path().join(format!("{name}.log"))),
                name,
            });
        }
        let fleet = Self { example, folder, instances, upstreams: Vec::new() };
        for instance in &fleet.instances {
            wait_for("readiness", || get(instance.operators, "/readyz").ok());
        }
        fleet
    }

    fn journal(&self) -> PathBuf {
        self.folder.path().join("journal")
    }

    /// Applies the declarations through the last instance, which is not a voter in either example.
    fn apply(&self) {
        let file = self.folder.path().join("declarations.yaml");
        std::fs::write(&file, declarations_with_test_key(&self.example)).unwrap();
        let token = self.folder.path().join("token");
        std::fs::write(&token, OPERATOR_TOKEN).unwrap();
        let instance_address = self.instances.last().unwrap().operators.to_string();
        let mut command = Command::new(PROGRAM);
        command.args(["apply", "--base", "0", "--instance", &instance_address, "--token-file"]);
        let output = support::output(command.arg(&token).arg(&file));
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        for instance in &self.instances {
            wait_for("revision in force", || {
                let revision = revision_with_token(OPERATOR_TOKEN, instance.operators)?;
                (revision == 1).then_some(())
            });
        }
    }

    /// Starts an engine and a booking service in every data centre.
    fn add_upstreams(&mut self) {
        let mut data_centres: Vec<String> =
            self.instances.iter().map(|instance| instance.data_centre.clone()).collect();
        data_centres.sort();
        data_centres.dedup();
        assert_eq!(data_centres.len(), self.example.data_centres);
        let journal = self.journal().display().to_string();
        let label = format!("app={}", self.example.booking_service);
        for data_centre in &data_centres {
            self.add_upstream("engine", data_centre, &["--model", self.example.model]);
            self.add_upstream("bookings", data_centre, &["--label", &label, "--journal", &journal]);
        }
        for instance in &self.instances {
            wait_for("announcements", || {
                let listed = get(instance.operators, "/upstreams").ok()?;
                (listed.matches("\"upstream\":").count() == 2).then_some(())
            });
        }
    }

    fn add_upstream(&mut self, role: &str, data_centre: &str, flags: &[&str]) {
        let name = format!("{role}-{data_centre}");
        let base_arguments =
            ["stand-in", "--name", &name, "--data-centre", data_centre, "--token", UPSTREAM_TOKEN];
        let mut arguments: Vec<String> =
            base_arguments.into_iter().chain(flags.iter().copied()).map(String::from).collect();
        for instance in self.instances.iter().filter(|item| item.data_centre == data_centre) {
            arguments.extend(["--instance".to_string(), instance.operators.to_string()]);
        }
        let mut process =
            Process::start(&arguments, self.folder.path().join(format!("{name}.log")));
        process.first_line();
        self.upstreams.push(process);
    }

    /// Sends a request until it is answered with 200, as a caller does. Checks that every refusal
    /// has the verdict `not-run` and the time after which the caller may retry.
    fn send_until_accepted(
        &self,
        instance: &Instance,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Answer {
        wait_for(path, || {
            let answer = post(instance.callers, path, headers, body).unwrap();
            if answer.status == 200 {
                return Some(answer);
            }
            assert_eq!(answer.verdict.as_deref(), Some("not-run"), "{answer:?}");
            assert!(answer.retry_after.is_some(), "{answer:?}");
            None
        })
    }

    /// Sends a chat through an instance and checks the streamed answer.
    fn check_chat(&self, instance: &Instance) {
        let text = format!("report of {}", instance.name);
        let mut body = chat(&text, ANSWER_WORDS, true);
        body["model"] = self.example.chat_service.into();
        let answer = self.send_until_accepted(instance, "/v1/chat/completions", &[], &body);
        assert_eq!(streamed_text(&answer.body), Some(expected_answer(&text, ANSWER_WORDS)));
    }

    /// Sends a booking through one instance and again through another. Checks that both answers are
    /// the same and that the booking ran once.
    fn check_booking(&self, instance: &Instance, other_instance: &Instance) {
        let path = format!("/services/{}/bookings", self.example.booking_service);
        let key = format!("booking-of-{}", instance.name);
        let headers = [("idempotency-key", key.as_str())];
        let original =
            self.send_until_accepted(instance, &path, &headers, &booking(&instance.name));
        let repeated =
            self.send_until_accepted(other_instance, &path, &headers, &booking(&instance.name));
        assert_eq!(original.body, repeated.body);
        assert_eq!(count_executions(&self.journal(), &instance.name), 1, "{original:?}");
    }
}

#[test_case(NASR; "nasr")]
#[test_case(WINTERDIENST; "winterdienst")]
fn an_example_serves_chats_and_bookings_through_every_instance(example: Example) {
    let mut fleet = ExampleFleet::start(example);
    assert_eq!(fleet.instances.len(), 6);
    fleet.apply();
    fleet.add_upstreams();
    for (index, instance) in fleet.instances.iter().enumerate() {
        fleet.check_chat(instance);
        let next = &fleet.instances[(index + 1) % fleet.instances.len()];
        fleet.check_booking(instance, next);
    }
}
