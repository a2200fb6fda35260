//! Output for people and for scripts.

use std::fmt;
use std::io;
use std::io::Write as _;

use serde::Serialize;

use crate::cli;

/// Writes a text to standard output.
pub fn print(text: &str) -> cli::CliResult<()> {
    let mut out = io::stdout().lock();
    let written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    written.map_err(|err| cli::CliError::Io("standard output".to_owned(), err))
}

/// Writes a line to standard output.
pub fn line(text: impl fmt::Display) -> cli::CliResult<()> {
    print(&format!("{text}\n"))
}

/// Writes a value as indented JSON.
pub fn json<T: Serialize>(value: &T) -> cli::CliResult<()> {
    line(render(serde_json::to_string_pretty(value))?)
}

/// Writes a value as one line of JSON.
pub fn json_line<T: Serialize>(value: &T) -> cli::CliResult<()> {
    line(render(serde_json::to_string(value))?)
}

/// Tells the user something that is no part of the output; a failure to do so is no error.
pub fn note(text: impl fmt::Display) {
    let _lost = writeln!(io::stderr(), "bulrushtiller: {text}");
}

fn render(result: serde_json::Result<String>) -> cli::CliResult<String> {
    result.map_err(|err| cli::CliError::Io("output".to_owned(), err.into()))
}

/// A table with columns as wide as their widest cell.
#[derive(Clone, Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with nothing but its heading.
    pub fn new(heading: &[&str]) -> Self {
        let cells = heading.iter().map(|&cell| cell.to_owned());
        Self {
            rows: vec![cells.collect()],
        }
    }

    /// Adds a row of as many cells as the heading has.
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

/// A cell for a value that may not be known.
pub fn cell<T: fmt::Display>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}
