//! Reading declarations from files and folders.

use std::fs;
use std::path::{Path, PathBuf};

use declare::Declarations;

use crate::Error;

/// Endings of files that a folder of declarations may hold.
const ENDINGS: [&str; 2] = ["yaml", "yml"];

/// A file's path and text.
pub(crate) struct Text {
    pub(crate) path: PathBuf,
    pub(crate) text: String,
}

fn invalid(path: &Path, problem: impl ToString) -> Error {
    Error::Invalid { path: path.display().to_string(), problem: problem.to_string() }
}

/// The YAML files directly in the folder `path`, sorted by name; `path` itself when it is a file.
pub(crate) fn expand(path: &Path) -> Result<Vec<PathBuf>, Error> {
    if !path.is_dir() {
        return Ok(vec![path.to_path_buf()]);
    }
    let mut paths = Vec::new();
    for entry in fs::read_dir(path).map_err(|error| invalid(path, error))? {
        let file = entry.map_err(|error| invalid(path, error))?.path();
        let ending = file.extension().and_then(|ending| ending.to_str());
        if file.is_file() && ending.is_some_and(|ending| ENDINGS.contains(&ending)) {
            paths.push(file);
        }
    }
    if paths.is_empty() {
        return Err(invalid(path, "the folder holds no YAML file; help: add FILE.yaml"));
    }
    paths.sort();
    Ok(paths)
}

/// Reads the file at `path`.
pub(crate) fn read(path: &Path) -> Result<Text, Error> {
    let text = fs::read_to_string(path).map_err(|error| invalid(path, error))?;
    Ok(Text { path: path.to_path_buf(), text })
}

/// Reads files and folders that together are the declarations, and checks them.
pub(crate) fn read_declarations(paths: &[PathBuf]) -> Result<Declarations, Error> {
    let mut texts = Vec::new();
    for path in paths {
        for file in expand(path)? {
            texts.push(read(&file)?);
        }
    }
    merge(&texts)
}

/// The declarations that `texts` are together.
pub(crate) fn merge(texts: &[Text]) -> Result<Declarations, Error> {
    let mut whole = Declarations::default();
    for Text { path, text } in texts {
        whole.append(Declarations::parse(text).map_err(|error| invalid(path, error))?);
    }
    whole.checked().map_err(|error| locate(texts, &error))
}

/// Words an error of the whole with the place where the name that it is about stands last.
fn locate(texts: &[Text], error: &declare::Error) -> Error {
    let place = error.subject().and_then(|name| {
        texts.iter().rev().find_map(|text| Some((text, position(&text.text, name)?)))
    });
    match (place, texts.first()) {
        (Some((text, (line, column))), _) => {
            invalid(&text.path, format!("{error} at line {line} column {column}"))
        }
        (None, Some(text)) => invalid(&text.path, error),
        (None, None) => invalid(Path::new("declarations"), error),
    }
}

/// Line and column, from 1, of the last value `name` in `text`.
fn position(text: &str, name: &str) -> Option<(usize, usize)> {
    let is_part = |character: char| character.is_ascii_alphanumeric() || "._-/".contains(character);
    text.lines()
        .enumerate()
        .filter_map(|(index, line)| {
            let (start, _) = line.match_indices(name).find(|(start, _)| {
                let before = line[..*start].chars().next_back();
                let after = line[start + name.len()..].chars().next();
                !before.is_some_and(is_part) && !after.is_some_and(is_part)
            })?;
            Some((index + 1, start + 1))
        })
        .last()
}
