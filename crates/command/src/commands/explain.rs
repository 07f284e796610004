//! `explain`: shows the timeline of one request from the logs of several instances.

use std::path::PathBuf;

use bpaf::{Parser, positional};

use crate::fleet::json_flag;
use crate::table::print_json;
use crate::timeline::Logs;
use crate::{Command, CommandParser, Error, Exit};

const HELP: &str = "Shows the timeline of one request from the logs of several instances";
const EXAMPLES: &str = "Lines marked with * belong to the request; the other lines show what its \
                        instances knew about the fleet and its upstreams.\n\
                        Example: turmericrelay explain 9c41d07be2a35f68 logs/*.jsonl --json";

/// Maximum number of unreadable lines that are reported individually; the others are only counted.
const MAX_REPORTED_LINES: usize = 5;

struct Explain {
    request: String,
    logs: Vec<PathBuf>,
    json: bool,
}

pub(crate) fn parser() -> CommandParser {
    let request = positional::<String>("REQUEST-ID").help("Request id that the caller sent");
    let logs = positional::<PathBuf>("LOG")
        .help("Log files of instances")
        .some("give at least one log file");
    let json = json_flag();
    bpaf::construct!(Explain { json, request, logs })
        .map(|explain| -> Box<dyn Command> { Box::new(explain) })
        .to_options()
        .descr(HELP)
        .footer(EXAMPLES)
        .command("explain")
        .help(HELP)
        .boxed()
}

impl Command for Explain {
    fn run(&self) -> Result<Exit, Error> {
        let mut logs = Logs::default();
        for path in &self.logs {
            let name = path.display().to_string();
            let content = std::fs::read(path).map_err(|error| Error::Invalid {
                path: name.clone(),
                reason: error.to_string(),
            })?;
            logs.add(&name, &String::from_utf8_lossy(&content));
        }
        let unreadable = logs.unreadable();
        for line in unreadable.iter().take(MAX_REPORTED_LINES) {
            eprintln!("{}:{}: {}", line.log, line.line_number, line.reason);
        }
        if unreadable.len() > MAX_REPORTED_LINES {
            eprintln!("{} more lines cannot be parsed", unreadable.len() - MAX_REPORTED_LINES);
        }
        match logs.timeline(&self.request) {
            Some(timeline) if self.json => {
                print_json(&timeline.to_json());
                Ok(Exit::Success)
            }
            Some(timeline) => {
                print!("{timeline}");
                Ok(Exit::Success)
            }
            None => Err(Error::Invalid {
                path: self.logs.first().map_or(String::new(), |path| path.display().to_string()),
                reason: format!(
                    "no line in {} logs belongs to request \"{}\"; help: give the logs of all \
                     entry instances at the time of the request; events \"suppressed\" count lines \
                     that were not logged",
                    self.logs.len(),
                    self.request
                ),
            }),
        }
    }
}
