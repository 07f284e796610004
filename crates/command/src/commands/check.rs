//! `check`: checks files of settings and declarations, without a running fleet.

use std::path::{Path, PathBuf};

use bpaf::{Parser, construct, positional};
use serde_json::{Value, json};
use settings::Settings;

use crate::files::{self, SourceFile};
use crate::table::print_json;
use crate::{Command, CommandParser, Error, Exit, fleet};

const HELP: &str = "Checks files and folders of settings or declarations; changes nothing";
const EXAMPLES: &str = "Example: turmericrelay check giza-1.yaml declarations.yaml
Example: turmericrelay check declarations/ --json";

/// Field that only files of settings contain.
const SETTINGS_FIELD: &str = "fleet_secrets";

struct Check {
    json: bool,
    files: Vec<PathBuf>,
}

/// Result of checking one file.
enum CheckResult {
    /// The file contains valid settings or declarations.
    Valid { path: String, kind: &'static str },
    /// The file, or a file in the folder at this path, is invalid.
    Invalid { path: String, error: Error },
}

impl CheckResult {
    fn print(&self) {
        match self {
            Self::Valid { path, kind } => println!("{path}: valid {kind}"),
            Self::Invalid { error, .. } => eprintln!("{error}"),
        }
    }

    fn to_json(&self) -> Value {
        match self {
            Self::Valid { path, kind } => json!({ "file": path, "valid": kind }),
            Self::Invalid { path, error } => json!({ "file": path, "error": error.to_string() }),
        }
    }
}

pub(crate) fn parser() -> CommandParser {
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

fn is_settings(file: &SourceFile) -> bool {
    file.content.contains(SETTINGS_FIELD)
}

/// Checks the file or folder at `path`. The declarations in a folder are merged and checked
/// together. Returns one result for each valid file, or the first error.
fn check(path: &Path) -> Result<Vec<CheckResult>, Error> {
    let paths = files::yaml_files(path)?;
    let files =
        paths.iter().map(|path| files::read(path)).collect::<Result<Vec<SourceFile>, Error>>()?;
    let (settings, declarations): (Vec<SourceFile>, Vec<SourceFile>) =
        files.into_iter().partition(is_settings);
    let mut valid = Vec::new();
    for SourceFile { path, content } in settings {
        let path = path.display().to_string();
        Settings::try_from(content)
            .map_err(|error| Error::Invalid { path: path.clone(), reason: error.to_string() })?;
        valid.push(CheckResult::Valid { path, kind: "settings" });
    }
    files::merge(&declarations)?;
    let paths = declarations.iter().map(|file| file.path.display().to_string());
    valid.extend(paths.map(|path| CheckResult::Valid { path, kind: "declarations" }));
    Ok(valid)
}

/// Returns the results of checking `path`; an error becomes the only result.
fn check_results(path: &Path) -> Vec<CheckResult> {
    check(path).unwrap_or_else(|error| {
        let path = path.display().to_string();
        vec![CheckResult::Invalid { path, error }]
    })
}

impl Command for Check {
    fn run(&self) -> Result<Exit, Error> {
        let results: Vec<CheckResult> =
            self.files.iter().flat_map(|path| check_results(path)).collect();
        if self.json {
            let files: Vec<Value> = results.iter().map(CheckResult::to_json).collect();
            print_json(&json!({ "files": files }));
        } else {
            results.iter().for_each(CheckResult::print);
        }
        let is_invalid = results.iter().any(|result| matches!(result, CheckResult::Invalid { .. }));
        Ok(if is_invalid { Exit::InvalidFile } else { Exit::Success })
    }
}
