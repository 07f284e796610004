//! `measure`: generates load for a running fleet and prints the measured results.

use std::io::BufRead;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, channel};

use bpaf::{Parser, construct, long};
use measure::{Scenario, Target};

use crate::{Command, CommandParser, Error, Exit};

const HELP: &str = "Generates load for running instances and stand-ins and prints the results";
const EXAMPLES: &str = "Example: turmericrelay measure --scenario quiet.yaml --seed 1 \
                        --caller 127.0.0.1:8080 --operators 127.0.0.1:8081 \
                        --stand-in 127.0.0.1:9001 --json --plot plots";

struct Measure {
    scenario: PathBuf,
    seed: u64,
    target: Target,
    json: bool,
    plot: Option<PathBuf>,
    reads_events: bool,
}

fn target_parser() -> impl Parser<Target> {
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
        .help("Maximum number of concurrent requests")
        .argument::<usize>("COUNT")
        .fallback(512);
    construct!(Target { callers, operators, stand_ins, threads })
}

pub(crate) fn parser() -> CommandParser {
    let scenario =
        long("scenario").help("YAML file of the scenario, see docs/MEASURING.md").argument("FILE");
    let seed = long("seed").help("Seed of the random load").argument("NUMBER").fallback(1);
    let target = target_parser();
    let json = long("json").help("Print the report as JSON").switch();
    let plot =
        long("plot").help("Folder for plots of the results in SVG").argument("FOLDER").optional();
    let reads_events = long("events")
        .help("Read events that happen to the fleet from standard input, one per line")
        .switch();
    construct!(Measure { scenario, seed, target, json, plot, reads_events })
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
        let content = std::fs::read_to_string(&self.scenario)
            .map_err(|source| Error::Invalid { path: path.clone(), reason: source.to_string() })?;
        Scenario::try_from(content)
            .map_err(|error| Error::Invalid { path, reason: error.to_string() })
    }

    /// Returns the events that a script writes to standard input while the load runs. The channel
    /// is closed at once if the flag `--events` is not given.
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
        let report = measure::run(self.scenario()?, &self.target, self.seed, &self.events())?;
        if let Some(folder) = &self.plot {
            measure::plot(&report, folder)?;
        }
        if self.json {
            println!("{}", serde_json::to_string(&report).unwrap_or_default());
        } else {
            print!("{}", report.table());
        }
        Ok(Exit::Success)
    }
}
