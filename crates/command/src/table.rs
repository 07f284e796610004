//! Tables and JSON on standard output.

use serde_json::Value;

/// A table for people.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with the titles of its columns.
    pub(crate) fn new(titles: &[&str]) -> Self {
        Self { rows: vec![titles.iter().map(|title| title.to_string()).collect()] }
    }

    /// Adds a row.
    pub(crate) fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// Prints the table; the last column is not padded.
    pub(crate) fn print(&self) {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let widths: Vec<usize> = (0..columns)
            .map(|column| {
                let cells = self.rows.iter().filter_map(|row| row.get(column));
                cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
            })
            .collect();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(&format!("{cell:<width$}  "));
            }
            println!("{}", line.trim_end());
        }
    }
}

/// The text of the field `name`; `-` when there is none.
pub(crate) fn cell(value: &Value, name: &str) -> String {
    match value.get(name) {
        None | Some(Value::Null) => "-".to_string(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}

/// The texts in the list `name`, joined.
pub(crate) fn list(value: &Value, name: &str) -> String {
    let texts = items(value, name).iter().filter_map(Value::as_str);
    texts.collect::<Vec<&str>>().join("; ")
}

/// The items of the list `name`.
pub(crate) fn items<'a>(value: &'a Value, name: &str) -> &'a [Value] {
    value.get(name).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

/// Prints `value` as JSON.
pub(crate) fn print_json(value: &Value) {
    println!("{value:#}");
}
