//! `check`: checks files of settings, declarations and documents before they are used.

use std::path::PathBuf;

use bpaf::{Parser, construct, long, positional};
use serde_json::{Value, json};

use crate::checked::CheckedPath;
use crate::difference::{self, Base};
use crate::files::SourceFile;
use crate::table::print_json;
use crate::warning::Warning;
use crate::{Command, CommandParser, Error, Exit, fleet};

const HELP: &str = "Checks settings, declarations and documents, and shows what they would change";
const EXAMPLES: &str = "Example: turmericrelay check giza-1.yaml declarations.yaml
Example: turmericrelay check declarations/ --strict --json
Example: turmericrelay check declarations/ --instance 10.0.0.1:8081 --token-file token
Example: turmericrelay check next.json --against saved.json";

struct Check {
    strict: bool,
    json: bool,
    base: Option<Base>,
    files: Vec<PathBuf>,
}

pub(crate) fn parser() -> CommandParser {
    let strict = long("strict").help("Fail with exit code 3 if there are warnings").switch();
    let json = fleet::json_flag();
    let base = difference::flags();
    let files =
        positional("FILE").help("Files and folders to check").some("give at least one file");
    construct!(Check { strict, json, base, files })
        .map(|check| -> Box<dyn Command> { Box::new(check) })
        .to_options()
        .descr(HELP)
        .footer(EXAMPLES)
        .command("check")
        .help(HELP)
        .boxed()
}

/// Outcome of checking all files.
struct Report {
    checked: Vec<CheckedPath>,
    warnings: Vec<Warning>,
    /// Differences from the base; `None` if the files were not compared.
    changes: Option<Vec<String>>,
}

/// Returns the valid files at a path, with what they contain. Files of declarations are valid if
/// their declarations are valid together.
fn valid_files(checked: &CheckedPath) -> impl Iterator<Item = (String, &'static str)> {
    let settings = checked.settings.iter().map(|(file, _)| (file, "settings"));
    let declarations = checked.declaration_files.iter().map(|file| (file, "declarations"));
    let documents = checked.documents.iter().map(|(file, _)| (file, "document"));
    let files = settings.chain(declarations).chain(documents);
    files.map(|(file, kind): (&SourceFile, _)| (file.path.display().to_string(), kind))
}

impl Report {
    fn has_errors(&self) -> bool {
        self.checked.iter().any(|checked| !checked.errors.is_empty())
    }

    fn print(&self) {
        for checked in &self.checked {
            for (path, kind) in valid_files(checked) {
                println!("{path}: valid {kind}");
            }
            for (_, error) in &checked.errors {
                eprintln!("{error}");
            }
        }
        for warning in &self.warnings {
            eprintln!("{warning}");
        }
        for change in self.changes.iter().flatten() {
            println!("{change}");
        }
    }

    fn to_json(&self) -> Value {
        let files = self.checked.iter().flat_map(|checked| {
            let valid = valid_files(checked);
            let valid = valid.map(|(path, kind)| json!({ "file": path, "valid": kind }));
            let errors = checked.errors.iter();
            let errors =
                errors.map(|(path, error)| json!({ "file": path, "error": error.to_string() }));
            valid.chain(errors)
        });
        let files: Vec<Value> = files.collect();
        let warnings: Vec<Value> = self.warnings.iter().map(Warning::to_json).collect();
        let mut report = json!({ "files": files, "warnings": warnings });
        if let Some(changes) = &self.changes {
            report["changes"] = json!(changes);
        }
        report
    }
}

impl Command for Check {
    fn run(&self) -> Result<Exit, Error> {
        let checked: Vec<CheckedPath> =
            self.files.iter().map(|path| CheckedPath::read(path)).collect();
        let memory_bytes = checked.iter().filter_map(CheckedPath::min_memory).min();
        let warnings = checked.iter().flat_map(|checked| checked.warnings(memory_bytes)).collect();
        let mut report = Report { checked, warnings, changes: None };
        let mut failure = None;
        if let Some(base) = self.base.as_ref().filter(|_| !report.has_errors()) {
            match base.compare(&report.checked) {
                Ok(comparison) => {
                    report.warnings.extend(comparison.warnings);
                    report.changes = Some(comparison.changes);
                }
                Err(error) => failure = Some(error),
            }
        }
        if self.json {
            print_json(&report.to_json());
        } else {
            report.print();
        }
        match failure {
            Some(error) => Err(error),
            None if report.has_errors() => Ok(Exit::InvalidFile),
            None if self.strict && !report.warnings.is_empty() => Ok(Exit::InvalidFile),
            None => Ok(Exit::Success),
        }
    }
}
