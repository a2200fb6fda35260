//! Output as text, tables and JSON.

use std::fmt;
use std::io;
use std::io::Write as _;

use serde::Serialize;

use crate::cli;

/// Writes a text to standard output and flushes it.
pub fn print(text: &str) -> cli::CliResult<()> {
    let mut out = io::stdout().lock();
    let written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    written.map_err(|err| cli::CliError::Io("standard output".to_owned(), err))
}

/// Writes a line to standard output.
pub fn line(text: impl fmt::Display) -> cli::CliResult<()> {
    print(&format!("{text}\n"))
}

/// Writes a value to standard output as indented JSON.
pub fn json<T: Serialize>(value: &T) -> cli::CliResult<()> {
    line(render(serde_json::to_string_pretty(value))?)
}

/// Writes a value to standard output as one line of JSON.
pub fn json_line<T: Serialize>(value: &T) -> cli::CliResult<()> {
    line(render(serde_json::to_string(value))?)
}

/// Writes a message to standard error; a failed write is ignored.
pub fn note(text: impl fmt::Display) {
    let _ignored = writeln!(io::stderr(), "bulrushtiller: {text}");
}

fn render(result: serde_json::Result<String>) -> cli::CliResult<String> {
    result.map_err(|err| cli::CliError::Io("output".to_owned(), err.into()))
}

/// Text table whose columns are as wide as their widest cell.
#[derive(Clone, Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a heading and no rows.
    pub fn new(heading: &[&str]) -> Self {
        let cells = heading.iter().map(|&cell| cell.to_owned());
        Self {
            rows: vec![cells.collect()],
        }
    }

    /// Adds a row, which has as many cells as the heading.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows[0].len();
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        (0..columns).map(width).collect()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let padded = cells.map(|(cell, &width)| format!("{cell:width$}"));
            let joined = padded.collect::<Vec<_>>().join("  ");
            writeln!(f, "{}", joined.trim_end())?;
        }
        Ok(())
    }
}

/// Formats an optional value as a cell; `-` stands for `None`.
pub fn cell<T: fmt::Display>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}
