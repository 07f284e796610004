//! Compares files with the version in force, or with another file, before they are sent.

use std::path::{Path, PathBuf};

use bpaf::{Parser, construct, long};
use catalogue::Catalogue;
use declare::{Declarations, Document};
use serde_json::Value;

use crate::Error;
use crate::checked::{CheckedPath, parse_document};
use crate::files::{self, SourceFile};
use crate::fleet::{self, FleetClient};
use crate::table::list_items;
use crate::warning::Warning;

/// What the checked files are compared with.
pub(crate) enum Base {
    /// The declarations in force in a fleet.
    Instance(FleetClient),
    /// Declarations or a document in a file, or declarations in a folder.
    File(PathBuf),
}

/// Differences from a [`Base`], and the warnings that follow from them.
#[derive(Default)]
pub(crate) struct Comparison {
    pub(crate) changes: Vec<String>,
    pub(crate) warnings: Vec<Warning>,
}

/// Returns the parser of the flags that choose what the files are compared with.
pub(crate) fn flags() -> impl Parser<Option<Base>> {
    let instance = fleet::explicit_flags().map(Base::Instance);
    let file = long("against")
        .help("Declarations, or a saved document, that the files are compared with")
        .argument::<PathBuf>("FILE")
        .map(Base::File);
    construct!([instance, file]).optional()
}

impl Base {
    /// Compares all valid declarations, or all documents, among `checked` with this base.
    pub(crate) fn compare(&self, checked: &[CheckedPath]) -> Result<Comparison, Error> {
        match self {
            Self::Instance(fleet) => {
                let response = fleet.compare(&merged_declarations(checked)?)?;
                let changes = list_items(&response, "changes").iter();
                let changes = changes.filter_map(Value::as_str).map(str::to_string).collect();
                Ok(Comparison { changes, warnings: Vec::new() })
            }
            Self::File(path) => match saved_document(path)? {
                Some(document) => compare_documents(&document, checked),
                None => {
                    let before =
                        Document::try_from(&files::read_declarations(std::slice::from_ref(path))?)?;
                    let after = Document::try_from(&merged_declarations(checked)?)?;
                    let changes = before.changes_to(&after);
                    let changes = changes.iter().map(declare::Change::words).collect();
                    Ok(Comparison { changes, warnings: Vec::new() })
                }
            },
        }
    }
}

/// Merges the declarations at all paths, as `diff` and `apply` do.
fn merged_declarations(checked: &[CheckedPath]) -> Result<Declarations, Error> {
    let files = checked.iter().flat_map(|checked| &checked.declaration_files);
    let files: Vec<SourceFile> = files.cloned().collect();
    if files.is_empty() {
        return Err(Error::Incomparable {
            problem: "the checked files have no declarations to compare",
            help: "compare documents with a saved document by --against",
        });
    }
    files::merge(&files)
}

/// Returns the document in the file at `path`, or `None` if it is a folder or another file.
fn saved_document(path: &Path) -> Result<Option<Catalogue>, Error> {
    if path.is_dir() {
        return Ok(None);
    }
    let file = files::read(path)?;
    if !platform::is_document(&file.content) {
        return Ok(None);
    }
    parse_document(&file).map(Some).map_err(|(first, _)| first)
}

fn compare_documents(before: &Catalogue, checked: &[CheckedPath]) -> Result<Comparison, Error> {
    let documents = || checked.iter().flat_map(|checked| &checked.documents);
    if documents().next().is_none() {
        return Err(Error::Incomparable {
            problem: "the checked files have no document to compare",
            help: "compare declarations with declarations",
        });
    }
    let mut comparison = Comparison::default();
    for (file, after) in documents() {
        let changes = catalogue::differences(before, after);
        comparison.changes.extend(changes.iter().map(ToString::to_string));
        let finding = catalogue::outdated(before, after);
        comparison.warnings.extend(finding.map(|finding| Warning::of_document(file, &finding)));
    }
    Ok(comparison)
}
