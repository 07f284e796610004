//! Checks that the example files are valid.

#![allow(clippy::unwrap_used)]

mod support;

use std::path::{Path, PathBuf};
use std::process::Command;

use support::{PROGRAM, output};
use test_case::test_case;

/// Returns the paths of the declarations and of all settings of an example.
fn example_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = vec![folder.join("declarations.yaml")];
    for entry in std::fs::read_dir(folder.join("settings")).unwrap() {
        files.push(entry.unwrap().path());
    }
    files
}

#[test_case("nasr"; "nasr")]
#[test_case("winterdienst"; "winterdienst")]
fn an_example_has_six_instances_and_passes_check(name: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples").join(name);
    let files = example_files(&folder);
    assert_eq!(files.len(), 7, "declarations and six settings");
    let output = output(Command::new(PROGRAM).arg("check").args(&files));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(0), "{text}");
}

#[test]
fn check_names_file_line_and_column_of_an_error() {
    let folder = tempfile::TempDir::new().unwrap();
    let path = folder.path().join("declarations.yaml");
    std::fs::write(&path, "kinds:\n  - name: a\n    rank: soon\n    deadline: 1s\n").unwrap();
    let output = output(Command::new(PROGRAM).arg("check").arg(&path));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(3), "{text}");
    assert!(text.contains("declarations.yaml"), "{text}");
    assert!(text.contains("line 3 column 11"), "{text}");
}
