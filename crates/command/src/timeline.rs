//! The story of one request, out of the logs of several instances.

use std::fmt;

use serde_json::{Map, Value};

/// For how long before a request what its instances came to believe belongs to its story.
const BEFORE_MS: u64 = 10_000;

/// Fields that stand at the start of a line of the story.
const START_FIELDS: [&str; 6] = ["at", "line", "instance", "level", "event", "request"];

/// One line of a log.
#[derive(Debug, Clone)]
pub(crate) struct Line {
    at: u64,
    number: u64,
    instance: String,
    event: String,
    fields: Map<String, Value>,
}

/// A line that could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Unreadable {
    /// The log.
    pub(crate) log: String,
    /// Its number in the log, from 1.
    pub(crate) number: usize,
    /// What is wrong with it.
    pub(crate) problem: String,
}

/// All lines of some logs.
#[derive(Debug, Default)]
pub(crate) struct Logs {
    lines: Vec<Line>,
    unreadable: Vec<Unreadable>,
}

fn text<'a>(fields: &'a Map<String, Value>, name: &str) -> Option<&'a str> {
    fields.get(name)?.as_str()
}

/// Reads one line; what a collector of logs put before the object is left out.
fn read(line: &str) -> Result<Line, String> {
    let start = line.find('{').ok_or("it holds no JSON object")?;
    let fields: Map<String, Value> =
        serde_json::from_str(&line[start..]).map_err(|error| error.to_string())?;
    let number = |name: &str| fields.get(name).and_then(Value::as_u64);
    let missing = |name: &str| format!("field \"{name}\" is missing");
    Ok(Line {
        at: number("at").ok_or_else(|| missing("at"))?,
        number: number("line").ok_or_else(|| missing("line"))?,
        instance: text(&fields, "instance").ok_or_else(|| missing("instance"))?.to_string(),
        event: text(&fields, "event").ok_or_else(|| missing("event"))?.to_string(),
        fields,
    })
}

impl Logs {
    /// Adds the lines of the log `name`.
    pub(crate) fn add(&mut self, name: &str, content: &str) {
        for (index, line) in content.lines().enumerate() {
            match read(line) {
                Ok(line) => self.lines.push(line),
                Err(_) if line.trim().is_empty() => {}
                Err(problem) => {
                    let (log, number) = (name.to_string(), index + 1);
                    self.unreadable.push(Unreadable { log, number, problem });
                }
            }
        }
    }

    /// Lines that could not be read.
    pub(crate) fn unreadable(&self) -> &[Unreadable] {
        &self.unreadable
    }

    /// The story of `request`; none when no line names it.
    pub(crate) fn story(&self, request: &str) -> Option<Story<'_>> {
        let own: Vec<&Line> = self.lines.iter().filter(|line| line.names(request)).collect();
        let first = own.iter().map(|line| line.at).min()?;
        let last = own.iter().map(|line| line.at).max()?;
        let instances: Vec<&str> = own.iter().map(|line| line.instance.as_str()).collect();
        let upstreams: Vec<&str> =
            own.iter().filter_map(|line| text(&line.fields, "upstream")).collect();
        let belongs = |line: &&Line| {
            line.names(request)
                || (instances.contains(&line.instance.as_str())
                    && (first.saturating_sub(BEFORE_MS)..=last).contains(&line.at)
                    && line.is_context(&upstreams))
        };
        let mut lines: Vec<&Line> = self.lines.iter().filter(belongs).collect();
        lines.sort_by_key(|line| (line.at, &line.instance, line.number));
        Some(Story { request: request.to_string(), first, lines })
    }
}

/// What happened to one request, and what its instances believed meanwhile, in order.
pub(crate) struct Story<'a> {
    request: String,
    /// The time of the request's first line.
    first: u64,
    lines: Vec<&'a Line>,
}

impl Story<'_> {
    /// The lines as a JSON array.
    pub(crate) fn to_json(&self) -> Value {
        self.lines.iter().map(|line| Value::Object(line.fields.clone())).collect()
    }
}

impl fmt::Display for Story<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.lines.iter().try_for_each(|line| line.tell(self.first, &self.request, formatter))
    }
}

impl Line {
    fn names(&self, request: &str) -> bool {
        text(&self.fields, "request") == Some(request)
    }

    /// Whether the line says what the instance believed when it decided.
    fn is_context(&self, upstreams: &[&str]) -> bool {
        match self.event.as_str() {
            "upstream" | "avoided" => {
                text(&self.fields, "upstream").is_some_and(|one| upstreams.contains(&one))
            }
            "catalogue" | "ready" | "lost" | "regained" | "started" | "stopping" | "reloaded"
            | "suppressed" | "dropped" => true,
            _ => false,
        }
    }

    /// Writes the line, with its time against the first line of the request.
    fn tell(&self, first: u64, request: &str, story: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = self.at as i128 - first as i128;
        let mark = if self.names(request) { '*' } else { ' ' };
        write!(story, "{mark} {time:>7} ms  {}  {}", self.instance, self.event)?;
        for (name, value) in &self.fields {
            if START_FIELDS.contains(&name.as_str()) {
                continue;
            }
            match value {
                Value::String(text) => write!(story, "  {name}={text}")?,
                other => write!(story, "  {name}={other}")?,
            }
        }
        writeln!(story)
    }
}
