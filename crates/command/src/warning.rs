//! Warnings about files that are valid, with their position.

use std::fmt;

use declare::{Section, Selector};
use serde_json::{Value, json};

use crate::files::{SourceFile, is_name_character};

/// A finding in a file that is valid.
pub(crate) struct Warning {
    file: String,
    /// Line of the entry, counted from 1, if it is known.
    line: Option<usize>,
    entry: String,
    problem: String,
    help: &'static str,
}

impl Warning {
    /// Returns the warning about a finding in settings.
    pub(crate) fn of_settings(file: &SourceFile, finding: &settings::Finding) -> Self {
        Self {
            file: file.path.display().to_string(),
            line: setting_line(&file.content, finding.field),
            entry: format!("setting \"{}\"", finding.field),
            problem: finding.problem.clone(),
            help: finding.help,
        }
    }

    /// Returns the warning about a finding in the declarations that `files` contain together. The
    /// file is the first one if the position of the entry is not known.
    pub(crate) fn of_declarations(
        files: &[SourceFile],
        finding: &declare::Finding,
    ) -> Option<Self> {
        let position =
            files.iter().find_map(|file| Some((file, declaration_line(&file.content, finding)?)));
        let (file, line) = match position {
            Some((file, line)) => (file, Some(line)),
            None => (files.first()?, None),
        };
        Some(Self {
            file: file.path.display().to_string(),
            line,
            entry: format!("{} \"{}\"", finding.section, finding.name),
            problem: finding.problem.clone(),
            help: finding.help,
        })
    }

    /// Returns the warning about a finding in a document.
    pub(crate) fn of_document(file: &SourceFile, finding: &catalogue::Finding) -> Self {
        Self {
            file: file.path.display().to_string(),
            line: platform::line_of(&file.content, &finding.entry),
            entry: finding.entry.to_string(),
            problem: finding.problem.clone(),
            help: finding.help,
        }
    }

    pub(crate) fn to_json(&self) -> Value {
        json!({
            "file": self.file,
            "line": self.line,
            "entry": self.entry,
            "problem": self.problem,
            "help": self.help,
        })
    }
}

impl fmt::Display for Warning {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: warning", self.file)?;
        if let Some(line) = self.line {
            write!(formatter, " at line {line}")?;
        }
        write!(formatter, ": {}: {}; help: {}", self.entry, self.problem, self.help)
    }
}

/// Returns the line, counted from 1, of the setting with the path `field` in the YAML text
/// `content`.
fn setting_line(content: &str, field: &str) -> Option<usize> {
    let (section, name) = field.split_once('.')?;
    let mut lines = section_lines(content, section);
    let (number, _) = lines.find(|(_, line)| field_value(line, name).is_some())?;
    Some(number)
}

/// Returns the line, counted from 1, of the entry with the finding in the YAML text `content`.
fn declaration_line(content: &str, finding: &declare::Finding) -> Option<usize> {
    let (section, field) = match finding.section {
        Section::Kind => ("kinds", "name"),
        Section::Service => ("services", "name"),
        Section::ClientAccount => ("client_accounts", "name"),
        Section::Drain => ("drains", ""),
        Section::Rollout => ("rollouts", "model"),
        Section::RoleChange => ("role_changes", "role"),
    };
    let is_entry = |line: &str| match finding.section {
        Section::Drain => is_drain(line, &finding.name),
        _ => field_value(line, field).is_some_and(|value| starts_with_name(value, &finding.name)),
    };
    let (number, _) = section_lines(content, section).find(|(_, line)| is_entry(line))?;
    Some(number)
}

/// Returns the lines of the section `name` at the top level of the YAML text `content`, with their
/// numbers. The first one contains the name of the section.
fn section_lines<'a>(
    content: &'a str,
    name: &'a str,
) -> impl Iterator<Item = (usize, &'a str)> + use<'a> {
    let is_start = move |line: &str| {
        line.strip_prefix(name).is_some_and(|rest| rest.trim_start().starts_with(':'))
    };
    let is_end = |line: &str| line.starts_with(|first: char| first.is_ascii_alphabetic());
    let lines = content.lines().enumerate().map(|(index, line)| (index + 1, line));
    let mut lines = lines.skip_while(move |(_, line)| !is_start(line));
    let first = lines.next();
    first.into_iter().chain(lines.take_while(move |(_, line)| !is_end(line)))
}

/// Returns what follows the field `name` and its colon in `line`.
fn field_value<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.match_indices(name).find_map(|(start, _)| {
        let previous = line[..start].chars().next_back();
        if previous.is_some_and(is_name_character) {
            return None;
        }
        let rest = line[start + name.len()..].trim_start_matches(['"', '\'']);
        rest.trim_start().strip_prefix(':').map(str::trim_start)
    })
}

/// Whether `value` starts with `name` as a complete word, quoted or not.
fn starts_with_name(value: &str, name: &str) -> bool {
    let rest = value.trim_start_matches(['"', '\'']).strip_prefix(name);
    let is_part = |next: char| is_name_character(next) || next == ':';
    rest.is_some_and(|rest| !rest.starts_with(is_part))
}

/// Whether `line` is a drain with the selector `name`, which may be written differently.
fn is_drain(line: &str, name: &str) -> bool {
    let text = line.trim_start_matches(|first: char| " -".contains(first)).trim_end();
    let selector = text.trim_matches(['"', '\'']).parse::<Selector>();
    selector.is_ok_and(|selector| selector.to_string() == name)
}
