//! `get`: prints the declarations of a revision.

use bpaf::{Parser, construct, long};
use declare::{Declarations, Revision};

use crate::fleet::{self, FleetClient};
use crate::table::print_json;
use crate::{Command, CommandParser, Error, Exit};

const HELP: &str = "Prints the declarations in force, or those of an earlier revision, as YAML";
const EXAMPLES: &str = "Example: turmericrelay get --revision 40 --token-file token
Example: turmericrelay get --json";

struct Get {
    revision: Option<Revision>,
    json: bool,
    fleet: FleetClient,
}

pub(crate) fn parser() -> CommandParser {
    let revision = long("revision")
        .help("Revision to print; the one in force if not given")
        .argument::<Revision>("REV")
        .optional();
    let json = fleet::json_flag();
    let fleet = fleet::flags();
    construct!(Get { revision, json, fleet })
        .map(|get| -> Box<dyn Command> { Box::new(get) })
        .to_options()
        .descr(HELP)
        .footer(EXAMPLES)
        .command("get")
        .help(HELP)
        .boxed()
}

impl Command for Get {
    fn run(&self) -> Result<Exit, Error> {
        let path = match self.revision {
            Some(revision) => format!("/declarations?revision={revision}"),
            None => "/declarations".to_string(),
        };
        let response = self.fleet.get(&path)?;
        if self.json {
            print_json(&response);
            return Ok(Exit::Success);
        }
        let declarations = Declarations::try_from(response["declarations"].to_string())?;
        println!("# revision {}", response["revision"]);
        print!("{}", declarations.to_yaml()?);
        Ok(Exit::Success)
    }
}
