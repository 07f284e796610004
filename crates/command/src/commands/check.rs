//! `check`: checks settings and declarations without touching anything else.

use std::path::{Path, PathBuf};

use bpaf::{Parser, positional};
use settings::Settings;

use crate::files::{self, Text};
use crate::{Command, Entry, Error, Exit};

const HELP: &str = "Checks files and folders of settings or declarations; changes nothing";
const EXAMPLES: &str = "Example: turmericrelay check giza-1.yaml declarations.yaml";

/// A field that only settings have.
const SETTINGS_FIELD: &str = "fleet_secrets";

struct Check {
    files: Vec<PathBuf>,
}

pub(crate) fn entry() -> Entry {
    let files =
        positional("FILE").help("Files and folders to check").some("give at least one file");
    files
        .map(|files| -> Box<dyn Command> { Box::new(Check { files }) })
        .to_options()
        .descr(HELP)
        .footer(EXAMPLES)
        .command("check")
        .help(HELP)
        .boxed()
}

fn is_settings(text: &Text) -> bool {
    text.text.contains(SETTINGS_FIELD)
}

/// Checks one file, or the files of a folder, whose declarations are checked together.
fn check(path: &Path) -> Result<Vec<String>, Error> {
    let paths = files::expand(path)?;
    let texts = paths.iter().map(|path| files::read(path)).collect::<Result<Vec<Text>, Error>>()?;
    let (settings, declarations): (Vec<Text>, Vec<Text>) = texts.into_iter().partition(is_settings);
    let mut valid = Vec::new();
    for Text { path, text } in settings {
        let path = path.display().to_string();
        Settings::try_from(text)
            .map_err(|error| Error::Invalid { path: path.clone(), problem: error.to_string() })?;
        valid.push(format!("{path}: valid settings"));
    }
    files::merge(&declarations)?;
    let paths = declarations.iter().map(|text| text.path.display());
    valid.extend(paths.map(|path| format!("{path}: valid declarations")));
    Ok(valid)
}

impl Command for Check {
    fn run(&self) -> Result<Exit, Error> {
        let mut exit = Exit::Done;
        for path in &self.files {
            match check(path) {
                Ok(valid) => valid.iter().for_each(|line| println!("{line}")),
                Err(error) => {
                    eprintln!("{error}");
                    exit = Exit::Invalid;
                }
            }
        }
        Ok(exit)
    }
}
