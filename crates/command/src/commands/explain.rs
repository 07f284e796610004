//! `explain`: tells the story of one request out of logs.

use std::path::PathBuf;

use bpaf::{Parser, positional};

use crate::fleet::json_flag;
use crate::story::Logs;
use crate::table::print_json;
use crate::{Command, Entry, Error, Exit};

const HELP: &str = "Tells the story of one request out of the logs of several instances";
const EXAMPLES: &str = "Lines marked with * are the request's own; the others are what its \
                        instances came to believe of its upstreams before.\n\
                        Example: turmericrelay explain 9c41d07be2a35f68 logs/*.jsonl --json";

/// Most unreadable lines that are named one by one.
const SHOWN_PROBLEMS: usize = 5;

struct Explain {
    request: String,
    logs: Vec<PathBuf>,
    json: bool,
}

pub(crate) fn entry() -> Entry {
    let request = positional::<String>("REQUEST-ID").help("The caller's id of the request");
    let logs = positional::<PathBuf>("LOG").help("Logs of instances").some("name a log");
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
                problem: error.to_string(),
            })?;
            logs.add(&name, &String::from_utf8_lossy(&content));
        }
        let unreadable = logs.unreadable();
        for line in unreadable.iter().take(SHOWN_PROBLEMS) {
            eprintln!("{}:{}: {}", line.log, line.number, line.problem);
        }
        if unreadable.len() > SHOWN_PROBLEMS {
            eprintln!("{} more lines cannot be read", unreadable.len() - SHOWN_PROBLEMS);
        }
        match logs.story(&self.request) {
            Some(story) if self.json => {
                print_json(&story.to_json());
                Ok(Exit::Done)
            }
            Some(story) => {
                print!("{story}");
                Ok(Exit::Done)
            }
            None => Err(Error::Invalid {
                path: self.logs.first().map_or(String::new(), |path| path.display().to_string()),
                problem: format!(
                    "no line of {} logs names request \"{}\"; help: give the logs of all entry \
                     instances of that time; a suppressed line is counted in an event \"suppressed\"",
                    self.logs.len(),
                    self.request
                ),
            }),
        }
    }
}
