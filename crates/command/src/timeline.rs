//! Timeline of one request, assembled from the logs of several instances.

use std::fmt;

use serde_json::{Map, Value};

/// Time before the first line of a request from which lines of its instances about the state of the
/// fleet are included in the timeline, in milliseconds.
const CONTEXT_WINDOW_MS: u64 = 10_000;

/// Fields that a printed line does not repeat as `name=value`. Its start already shows the time,
/// the instance, the event and whether the line belongs to the request; its number and level are
/// not printed.
const OMITTED_FIELDS: [&str; 6] = ["at", "line", "instance", "level", "event", "request"];

/// Log line of an instance.
#[derive(Debug, Clone)]
pub(crate) struct LogLine {
    /// Time since the Unix epoch, in milliseconds.
    time_ms: u64,
    /// Number of the line among the lines of its instance.
    sequence: u64,
    instance: String,
    event: String,
    fields: Map<String, Value>,
}

/// Log line that cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct UnreadableLine {
    /// Path of the log.
    pub(crate) log: String,
    /// Number of the line in the log, counted from 1.
    pub(crate) line_number: usize,
    /// Reason why the line cannot be parsed.
    pub(crate) reason: String,
}

/// Lines of the logs of several instances.
#[derive(Debug, Default)]
pub(crate) struct Logs {
    lines: Vec<LogLine>,
    unreadable: Vec<UnreadableLine>,
}

/// Returns the string in the field `name`.
fn text_field<'a>(fields: &'a Map<String, Value>, name: &str) -> Option<&'a str> {
    fields.get(name)?.as_str()
}

/// Parses one line. Text before the JSON object is skipped because log collectors add prefixes.
fn parse_line(line: &str) -> Result<LogLine, String> {
    let start = line.find('{').ok_or("the line contains no JSON object")?;
    let fields: Map<String, Value> =
        serde_json::from_str(&line[start..]).map_err(|error| error.to_string())?;
    let integer_field = |name: &str| fields.get(name).and_then(Value::as_u64);
    let missing = |name: &str| format!("field \"{name}\" is missing");
    Ok(LogLine {
        time_ms: integer_field("at").ok_or_else(|| missing("at"))?,
        sequence: integer_field("line").ok_or_else(|| missing("line"))?,
        instance: text_field(&fields, "instance").ok_or_else(|| missing("instance"))?.to_string(),
        event: text_field(&fields, "event").ok_or_else(|| missing("event"))?.to_string(),
        fields,
    })
}

impl Logs {
    /// Adds the lines of the log `name`, whose text is `content`.
    pub(crate) fn add(&mut self, name: &str, content: &str) {
        for (index, line) in content.lines().enumerate() {
            match parse_line(line) {
                Ok(line) => self.lines.push(line),
                Err(_) if line.trim().is_empty() => {}
                Err(reason) => {
                    let (log, line_number) = (name.to_string(), index + 1);
                    self.unreadable.push(UnreadableLine { log, line_number, reason });
                }
            }
        }
    }

    /// Returns the lines that cannot be parsed.
    pub(crate) fn unreadable(&self) -> &[UnreadableLine] {
        &self.unreadable
    }

    /// Returns the timeline of `request`, or `None` if no line belongs to the request.
    pub(crate) fn timeline(&self, request: &str) -> Option<Timeline<'_>> {
        let request_lines: Vec<&LogLine> =
            self.lines.iter().filter(|line| line.is_of_request(request)).collect();
        let start_ms = request_lines.iter().map(|line| line.time_ms).min()?;
        let end_ms = request_lines.iter().map(|line| line.time_ms).max()?;
        let instances: Vec<&str> =
            request_lines.iter().map(|line| line.instance.as_str()).collect();
        let upstreams: Vec<&str> =
            request_lines.iter().filter_map(|line| text_field(&line.fields, "upstream")).collect();
        let is_included = |line: &&LogLine| {
            line.is_of_request(request)
                || (instances.contains(&line.instance.as_str())
                    && (start_ms.saturating_sub(CONTEXT_WINDOW_MS)..=end_ms)
                        .contains(&line.time_ms)
                    && line.is_context(&upstreams))
        };
        let mut lines: Vec<&LogLine> = self.lines.iter().filter(is_included).collect();
        lines.sort_by_key(|line| (line.time_ms, &line.instance, line.sequence));
        Some(Timeline { request: request.to_string(), start_ms, lines })
    }
}

/// Log lines of one request, and of the fleet's state as its instances saw it, sorted by time.
pub(crate) struct Timeline<'a> {
    request: String,
    /// Time of the first line of the request, in milliseconds since the Unix epoch.
    start_ms: u64,
    lines: Vec<&'a LogLine>,
}

impl Timeline<'_> {
    /// Returns the lines as a JSON array.
    pub(crate) fn to_json(&self) -> Value {
        self.lines.iter().map(|line| Value::Object(line.fields.clone())).collect()
    }
}

impl fmt::Display for Timeline<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.lines.iter().try_for_each(|line| line.format(self.start_ms, &self.request, formatter))
    }
}

impl LogLine {
    /// Returns whether the line belongs to `request`.
    fn is_of_request(&self, request: &str) -> bool {
        text_field(&self.fields, "request") == Some(request)
    }

    /// Returns whether the line records state on which the instance may have based its decisions:
    /// changes of the instance itself, or what it knew about one of `upstreams`.
    fn is_context(&self, upstreams: &[&str]) -> bool {
        match self.event.as_str() {
            "upstream" | "avoided" => {
                text_field(&self.fields, "upstream").is_some_and(|name| upstreams.contains(&name))
            }
            "catalogue" | "ready" | "lost" | "regained" | "started" | "stopping" | "reloaded"
            | "suppressed" | "dropped" => true,
            _ => false,
        }
    }

    /// Writes the line with its time relative to `start_ms`, and marks it if it belongs to
    /// `request`.
    fn format(
        &self,
        start_ms: u64,
        request: &str,
        formatter: &mut fmt::Formatter<'_>,
    ) -> fmt::Result {
        let offset_ms = self.time_ms as i128 - start_ms as i128;
        let marker = if self.is_of_request(request) { '*' } else { ' ' };
        write!(formatter, "{marker} {offset_ms:>7} ms  {}  {}", self.instance, self.event)?;
        for (name, value) in &self.fields {
            if OMITTED_FIELDS.contains(&name.as_str()) {
                continue;
            }
            match value {
                Value::String(text) => write!(formatter, "  {name}={text}")?,
                other => write!(formatter, "  {name}={other}")?,
            }
        }
        writeln!(formatter)
    }
}
