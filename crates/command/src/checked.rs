//! Reads and validates files of settings, declarations and documents.

use std::path::Path;

use catalogue::Catalogue;
use declare::Declarations;
use settings::{Role, Settings};

use crate::Error;
use crate::files::{self, SourceFile};
use crate::warning::Warning;

/// Field that only files of settings contain.
const SETTINGS_FIELD: &str = "fleet_secrets";

/// Files at one path, by what they contain, and the errors in them.
#[derive(Default)]
pub(crate) struct CheckedPath {
    pub(crate) settings: Vec<(SourceFile, Settings)>,
    pub(crate) documents: Vec<(SourceFile, Catalogue)>,
    /// Files of declarations, which are merged; empty if they are invalid.
    pub(crate) declaration_files: Vec<SourceFile>,
    declarations: Declarations,
    /// Errors, and the path of the file or folder in which each of them is.
    pub(crate) errors: Vec<(String, Error)>,
}

impl CheckedPath {
    /// Reads and validates the file or folder at `path`. The declarations in a folder are merged and
    /// validated together.
    pub(crate) fn read(path: &Path) -> Self {
        let mut checked = Self::default();
        let mut declaration_files = Vec::new();
        match files::yaml_files(path) {
            Ok(paths) => {
                for path in paths {
                    match files::read(&path) {
                        Ok(file) => declaration_files.extend(checked.add(file)),
                        Err(error) => checked.add_error(&path, error),
                    }
                }
            }
            Err(error) => checked.add_error(path, error),
        }
        match files::merge_all(&declaration_files) {
            Ok(declarations) => {
                checked.declaration_files = declaration_files;
                checked.declarations = declarations;
            }
            Err(errors) => checked.add_errors(path, errors),
        }
        checked
    }

    /// Adds a file of settings or a document. Returns any other file, which has declarations.
    fn add(&mut self, file: SourceFile) -> Option<SourceFile> {
        if platform::is_document(&file.content) {
            match parse_document(&file) {
                Ok(catalogue) => self.documents.push((file, catalogue)),
                Err(errors) => self.add_errors(&file.path, errors),
            }
            return None;
        }
        if !file.content.contains(SETTINGS_FIELD) {
            return Some(file);
        }
        match Settings::try_from(file.content.clone()) {
            Ok(settings) => self.settings.push((file, settings)),
            Err(error) => {
                let error = files::invalid(&file.path, error);
                self.add_error(&file.path, error);
            }
        }
        None
    }

    /// Adds an error. Its file is the one that it names, or else the one at `path`.
    fn add_error(&mut self, path: &Path, error: Error) {
        let path = match &error {
            Error::Invalid { path, .. } => path.clone(),
            _ => path.display().to_string(),
        };
        self.errors.push((path, error));
    }

    fn add_errors(&mut self, path: &Path, (first, others): (Error, Vec<Error>)) {
        for error in std::iter::once(first).chain(others) {
            self.add_error(path, error);
        }
    }

    /// Returns the least memory, in bytes, of the instances among the settings that serve callers by
    /// documents. These are instances with seeds.
    pub(crate) fn min_memory(&self) -> Option<usize> {
        let settings = self.settings.iter().map(|(_, settings)| settings);
        let serving =
            settings.filter(|settings| settings.is_seeded() && settings.has_role(Role::Entry));
        serving.map(|settings| settings.limits.memory.as_bytes()).min()
    }

    /// Returns the warnings about all files, for instances that may use at least `memory_bytes`
    /// bytes, if that is known.
    pub(crate) fn warnings(&self, memory_bytes: Option<usize>) -> Vec<Warning> {
        let mut warnings = Vec::new();
        for (file, settings) in &self.settings {
            let findings = settings::findings(settings);
            warnings.extend(findings.iter().map(|finding| Warning::of_settings(file, finding)));
        }
        for finding in declare::findings(&self.declarations) {
            warnings.extend(Warning::of_declarations(&self.declaration_files, &finding));
        }
        for (file, catalogue) in &self.documents {
            let findings = catalogue::findings(catalogue, memory_bytes);
            warnings.extend(findings.iter().map(|finding| Warning::of_document(file, finding)));
        }
        warnings
    }
}

/// Parses a document of the platform and validates it.
///
/// # Errors
///
/// The first error in the document, and the others if its form is valid.
pub(crate) fn parse_document(file: &SourceFile) -> Result<Catalogue, (Error, Vec<Error>)> {
    let error = |reason: &dyn ToString| files::invalid(&file.path, reason.to_string());
    let parsed = platform::interface().documents.parse(file.content.as_bytes());
    let draft = parsed.map_err(|reason| (error(&reason), Vec::new()))?;
    let others = draft.errors().iter().skip(1).map(|reason| error(reason)).collect();
    Catalogue::try_from(draft).map_err(|reason| (error(&reason), others))
}
