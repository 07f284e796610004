//! `measure`: offers a load to a running fleet and prints what came of it.

use std::io::BufRead;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, channel};

use bpaf::{Parser, construct, long};
use measure::{Scenario, Subject};

use crate::{Command, Entry, Error, Exit};

const HELP: &str = "Offers a load to running instances and stand-ins and prints one table";
const EXAMPLES: &str = "Example: turmericrelay measure --scenario quiet.yaml --seed 1 \
                        --caller 127.0.0.1:8080 --operators 127.0.0.1:8081 \
                        --stand-in 127.0.0.1:9001 --json --plot plots";

struct Measure {
    scenario: PathBuf,
    seed: u64,
    subject: Subject,
    json: bool,
    plot: Option<PathBuf>,
    reads_events: bool,
}

fn subject() -> impl Parser<Subject> {
    let callers = long("caller")
        .help("Callers' address of an instance")
        .argument::<SocketAddr>("ADDRESS")
        .some("give the callers' address of at least one instance");
    let operators = long("operators")
        .help("Operators' address of an instance, for control traffic")
        .argument::<SocketAddr>("ADDRESS")
        .many();
    let stand_ins = long("stand-in")
        .help("Address of a stand-in engine, for its load and cached context")
        .argument::<SocketAddr>("ADDRESS")
        .some("give the address of at least one stand-in");
    let threads = long("threads")
        .help("Requests that can be under way at once")
        .argument::<usize>("COUNT")
        .fallback(512);
    construct!(Subject { callers, operators, stand_ins, threads })
}

pub(crate) fn entry() -> Entry {
    let scenario =
        long("scenario").help("Scenario in YAML, see docs/MEASURING.md").argument("FILE");
    let seed = long("seed").help("Seed of the load").argument("NUMBER").fallback(1);
    let subject = subject();
    let json = long("json").help("Prints the report as JSON").switch();
    let plot = long("plot").help("Writes plots as SVG").argument("FOLDER").optional();
    let reads_events = long("events")
        .help("Reads lines of what happens to the fleet from standard input")
        .switch();
    construct!(Measure { scenario, seed, subject, json, plot, reads_events })
        .map(|measure| -> Box<dyn Command> { Box::new(measure) })
        .to_options()
        .descr(HELP)
        .footer(EXAMPLES)
        .command("measure")
        .help(HELP)
        .boxed()
}

impl Measure {
    fn scenario(&self) -> Result<Scenario, Error> {
        let path = self.scenario.display().to_string();
        let text = std::fs::read_to_string(&self.scenario)
            .map_err(|source| Error::Invalid { path: path.clone(), problem: source.to_string() })?;
        Scenario::try_from(text)
            .map_err(|error| Error::Invalid { path, problem: error.to_string() })
    }

    /// Lines that the driving script writes while the load runs.
    fn events(&self) -> Receiver<String> {
        let (sender, events) = channel();
        if self.reads_events {
            std::thread::spawn(move || {
                for line in std::io::stdin().lock().lines().map_while(Result::ok) {
                    if sender.send(line).is_err() {
                        return;
                    }
                }
            });
        }
        events
    }
}

impl Command for Measure {
    fn run(&self) -> Result<Exit, Error> {
        let report = measure::run(self.scenario()?, &self.subject, self.seed, &self.events())?;
        if let Some(folder) = &self.plot {
            measure::plot(&report, folder)?;
        }
        if self.json {
            println!("{}", serde_json::to_string(&report).unwrap_or_default());
        } else {
            print!("{}", report.table());
        }
        Ok(Exit::Done)
    }
}
