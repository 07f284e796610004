//! Output of commands as tables and JSON.

use serde_json::Value;

/// Table with left-aligned columns and a header row, for people.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table whose header row consists of `titles`.
    pub(crate) fn new(titles: &[&str]) -> Self {
        Self { rows: vec![titles.iter().map(|title| title.to_string()).collect()] }
    }

    /// Adds a row below the others.
    pub(crate) fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// Prints the table to standard output without trailing spaces.
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

/// Returns the field `name` of `value` as text, or `-` if the field is missing or null.
pub(crate) fn field_text(value: &Value, name: &str) -> String {
    match value.get(name) {
        None | Some(Value::Null) => "-".to_string(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}

/// Returns the strings in the list `name` of `value`, separated by semicolons.
pub(crate) fn joined_texts(value: &Value, name: &str) -> String {
    let texts = list_items(value, name).iter().filter_map(Value::as_str);
    texts.collect::<Vec<&str>>().join("; ")
}

/// Returns the items of the list `name` of `value`; none if the list is missing.
pub(crate) fn list_items<'a>(value: &'a Value, name: &str) -> &'a [Value] {
    value.get(name).and_then(Value::as_array).map_or(&[], Vec::as_slice)
}

/// Prints `value` to standard output as indented JSON.
pub(crate) fn print_json(value: &Value) {
    println!("{value:#}");
}
