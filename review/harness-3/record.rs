//! The record of a case: what was sent, answered and run.

use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Lines with the time since the start of the case.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(u128, String)>>,
}

impl Record {
    pub fn new() -> Self {
        Self { start: Instant::now(), lines: Mutex::default() }
    }

    /// Adds a line.
    pub fn add(&self, line: impl Into<String>) {
        let at = self.start.elapsed().as_millis();
        if let Ok(mut lines) = self.lines.lock() {
            lines.push((at, line.into()));
        }
    }

    /// Adds a line and prints it.
    pub fn say(&self, line: impl Into<String>) {
        let line = line.into();
        println!("{line}");
        self.add(line);
    }

    /// Writes all lines to `record.txt` in `folder`.
    pub fn write(&self, folder: &Path) -> std::io::Result<()> {
        let Ok(lines) = self.lines.lock() else {
            return Ok(());
        };
        let lines = lines.iter().map(|(at, line)| format!("{:8.3} {line}\n", *at as f64 / 1000.0));
        std::fs::write(folder.join("record.txt"), lines.collect::<String>())
    }
}
