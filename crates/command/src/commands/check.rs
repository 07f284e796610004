//! `check`: checks settings and declarations without touching anything else.

use std::path::{Path, PathBuf};

use bpaf::{Parser, construct, positional};
use serde_json::{Value, json};
use settings::Settings;

use crate::files::{self, Text};
use crate::table::print_json;
use crate::{Command, Entry, Error, Exit, fleet};

const HELP: &str = "Checks files and folders of settings or declarations; changes nothing";
const EXAMPLES: &str = "Example: turmericrelay check giza-1.yaml declarations.yaml
Example: turmericrelay check declarations/ --json";

/// A field that only settings have.
const SETTINGS_FIELD: &str = "fleet_secrets";

struct Check {
    json: bool,
    files: Vec<PathBuf>,
}

/// What was found of one file.
enum Found {
    /// It holds valid settings or declarations.
    Valid { path: String, what: &'static str },
    /// It, or a file in the folder that it names, is not valid.
    Invalid { path: String, error: Error },
}

impl Found {
    fn print(&self) {
        match self {
            Self::Valid { path, what } => println!("{path}: valid {what}"),
            Self::Invalid { error, .. } => eprintln!("{error}"),
        }
    }

    fn to_json(&self) -> Value {
        match self {
            Self::Valid { path, what } => json!({ "file": path, "valid": what }),
            Self::Invalid { path, error } => json!({ "file": path, "error": error.to_string() }),
        }
    }
}

pub(crate) fn entry() -> Entry {
    let json = fleet::json_flag();
    let files =
        positional("FILE").help("Files and folders to check").some("give at least one file");
    construct!(Check { json, files })
        .map(|check| -> Box<dyn Command> { Box::new(check) })
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
fn check(path: &Path) -> Result<Vec<Found>, Error> {
    let paths = files::expand(path)?;
    let texts = paths.iter().map(|path| files::read(path)).collect::<Result<Vec<Text>, Error>>()?;
    let (settings, declarations): (Vec<Text>, Vec<Text>) = texts.into_iter().partition(is_settings);
    let mut valid = Vec::new();
    for Text { path, text } in settings {
        let path = path.display().to_string();
        Settings::try_from(text)
            .map_err(|error| Error::Invalid { path: path.clone(), problem: error.to_string() })?;
        valid.push(Found::Valid { path, what: "settings" });
    }
    files::merge(&declarations)?;
    let paths = declarations.iter().map(|text| text.path.display().to_string());
    valid.extend(paths.map(|path| Found::Valid { path, what: "declarations" }));
    Ok(valid)
}

/// What was found of `path`, as a list in either case.
fn find(path: &Path) -> Vec<Found> {
    check(path).unwrap_or_else(|error| {
        let path = path.display().to_string();
        vec![Found::Invalid { path, error }]
    })
}

impl Command for Check {
    fn run(&self) -> Result<Exit, Error> {
        let found: Vec<Found> = self.files.iter().flat_map(|path| find(path)).collect();
        if self.json {
            let files: Vec<Value> = found.iter().map(Found::to_json).collect();
            print_json(&json!({ "files": files }));
        } else {
            found.iter().for_each(Found::print);
        }
        let is_invalid = found.iter().any(|found| matches!(found, Found::Invalid { .. }));
        Ok(if is_invalid { Exit::Invalid } else { Exit::Done })
    }
}
