//! `check`: checks settings and declarations without touching anything else.

use std::path::{Path, PathBuf};

use bpaf::{Parser, positional};
use declare::Declarations;
use settings::Settings;

use crate::{Command, Entry, Error, Exit};

const HELP: &str = "Checks files of settings or declarations; changes nothing";
const EXAMPLES: &str = "Example: turmericrelay check giza-1.yaml declarations.yaml";

/// A field that only settings have.
const SETTINGS_FIELD: &str = "fleet_secrets";

struct Check {
    files: Vec<PathBuf>,
}

pub(crate) fn entry() -> Entry {
    let files = positional("FILE").help("Files to check").some("give at least one file");
    files
        .map(|files| -> Box<dyn Command> { Box::new(Check { files }) })
        .to_options()
        .descr(HELP)
        .footer(EXAMPLES)
        .command("check")
        .help(HELP)
        .boxed()
}

fn check(path: &Path) -> Result<&'static str, String> {
    let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
    if text.contains(SETTINGS_FIELD) {
        Settings::try_from(text).map_err(|error| error.to_string())?;
        return Ok("settings");
    }
    Declarations::try_from(text).map_err(|error| error.to_string())?;
    Ok("declarations")
}

impl Command for Check {
    fn run(&self) -> Result<Exit, Error> {
        let mut exit = Exit::Done;
        for path in &self.files {
            match check(path) {
                Ok(what) => println!("{}: valid {what}", path.display()),
                Err(problem) => {
                    eprintln!("{}: {problem}", path.display());
                    exit = Exit::Invalid;
                }
            }
        }
        Ok(exit)
    }
}
