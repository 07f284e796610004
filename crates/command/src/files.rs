//! Reads declarations from files and folders.

use std::fs;
use std::path::{Path, PathBuf};

use declare::Declarations;

use crate::Error;

/// Extensions of the files that are read from a folder of declarations.
const YAML_EXTENSIONS: [&str; 2] = ["yaml", "yml"];

/// Path and content of a file.
#[derive(Clone)]
pub(crate) struct SourceFile {
    pub(crate) path: PathBuf,
    pub(crate) content: String,
}

/// Texts before a value of the wrong type in errors of parsers.
const BEFORE_INVALID_VALUE: [&str; 2] = ["invalid type: ", "invalid value: "];

/// Text after such a value.
const AFTER_INVALID_VALUE: &str = ", expected";

/// Returns the error that the file at `path` is invalid.
pub(crate) fn invalid(path: &Path, reason: impl ToString) -> Error {
    let reason = without_value(&reason.to_string());
    Error::Invalid { path: path.display().to_string(), reason }
}

/// Removes from an error of a parser the value that has the wrong type, because it may be a secret.
/// Its type, which is named before it, is kept.
fn without_value(reason: &str) -> String {
    let starts = BEFORE_INVALID_VALUE.iter().filter_map(|text| {
        let start = reason.find(text)? + text.len();
        Some(start + reason[start..].find(['"', '`'])?)
    });
    let Some(start) = starts.min() else {
        return reason.to_string();
    };
    let end = reason[start..].rfind(AFTER_INVALID_VALUE).map_or(reason.len(), |end| start + end);
    format!("{}(value omitted){}", &reason[..start], &reason[end..])
}

/// Returns the YAML files directly in the folder `path`, sorted by path, or `path` itself if it is
/// not a folder.
pub(crate) fn yaml_files(path: &Path) -> Result<Vec<PathBuf>, Error> {
    if !path.is_dir() {
        return Ok(vec![path.to_path_buf()]);
    }
    let mut paths = Vec::new();
    for entry in fs::read_dir(path).map_err(|error| invalid(path, error))? {
        let file = entry.map_err(|error| invalid(path, error))?.path();
        let extension = file.extension().and_then(|extension| extension.to_str());
        if file.is_file() && extension.is_some_and(|extension| YAML_EXTENSIONS.contains(&extension))
        {
            paths.push(file);
        }
    }
    if paths.is_empty() {
        return Err(invalid(
            path,
            "the folder contains no YAML file; help: add a file with the extension .yaml or .yml",
        ));
    }
    paths.sort();
    Ok(paths)
}

/// Reads the file at `path`.
pub(crate) fn read(path: &Path) -> Result<SourceFile, Error> {
    let content = fs::read_to_string(path).map_err(|error| invalid(path, error))?;
    Ok(SourceFile { path: path.to_path_buf(), content })
}

/// Reads the files and folders at `paths`, merges their declarations and validates the result.
pub(crate) fn read_declarations(paths: &[PathBuf]) -> Result<Declarations, Error> {
    let mut files = Vec::new();
    for path in paths {
        for file_path in yaml_files(path)? {
            files.push(read(&file_path)?);
        }
    }
    merge(&files)
}

/// Merges the declarations of `files` and validates the result.
pub(crate) fn merge(files: &[SourceFile]) -> Result<Declarations, Error> {
    merge_all(files).map_err(|(first, _)| first)
}

/// Merges the declarations of `files` and validates the result. Returns the first error and the
/// others: those of all files that cannot be parsed, or those of the merged declarations.
pub(crate) fn merge_all(files: &[SourceFile]) -> Result<Declarations, (Error, Vec<Error>)> {
    let mut declarations = Declarations::default();
    let mut errors = Vec::new();
    for SourceFile { path, content } in files {
        match Declarations::parse(content) {
            Ok(parsed) => declarations.append(parsed),
            Err(error) => errors.push(invalid(path, error)),
        }
    }
    let mut errors = errors.into_iter();
    if let Some(first) = errors.next() {
        return Err((first, errors.collect()));
    }
    declarations.validated().map_err(|errors| {
        let others = errors.others.iter().map(|error| with_position(files, error)).collect();
        (with_position(files, &errors.first), others)
    })
}

/// Adds to an error in the merged declarations the file, line and column of the last occurrence of
/// the name that the error is about.
fn with_position(files: &[SourceFile], error: &declare::Error) -> Error {
    let location = error.subject().and_then(|name| {
        files.iter().rev().find_map(|file| Some((file, last_position(&file.content, name)?)))
    });
    match (location, files.first()) {
        (Some((file, (line, column))), _) => {
            invalid(&file.path, format!("{error} at line {line} column {column}"))
        }
        (None, Some(file)) => invalid(&file.path, error),
        (None, None) => invalid(Path::new("declarations"), error),
    }
}

/// Returns the line and the column in bytes, both counted from 1, of `name` on the last line of
/// `content` where it is a complete word.
fn last_position(content: &str, name: &str) -> Option<(usize, usize)> {
    content
        .lines()
        .enumerate()
        .filter_map(|(index, line)| {
            let (start, _) = line.match_indices(name).find(|(start, _)| {
                let previous = line[..*start].chars().next_back();
                let next = line[start + name.len()..].chars().next();
                !previous.is_some_and(is_name_character) && !next.is_some_and(is_name_character)
            })?;
            Some((index + 1, start + 1))
        })
        .last()
}

/// Whether `character` can be part of a name.
pub(crate) fn is_name_character(character: char) -> bool {
    character.is_ascii_alphanumeric() || "._-/".contains(character)
}
