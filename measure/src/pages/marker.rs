//! Marker lines that describe the table below them.

use std::ffi;

use quick_error::quick_error;

use crate::pages::layout;
use crate::patterns;
use crate::sim;

quick_error! {
    /// Reason why a page can't be renewed.
    #[derive(Debug)]
    pub enum PageError {
        /// No load pattern or deployment has this name.
        Unknown(line: String) {
            display("unknown pattern or site: {line}")
        }
        /// The marker can't be parsed.
        BadMarker(line: String, why: String) {
            display("invalid table marker ({why}): {line}")
        }
        /// A table has no end line.
        Unclosed(before: String) {
            display("table without end line before: {before}")
        }
    }
}

/// Start and end of a marker line.
const MARKER_OPEN: &str = "<!-- table ";
const MARKER_CLOSE: &str = " -->";

/// Load relative to the slots if the marker has none.
const DEFAULT_LOAD: f64 = 0.7;

/// Description of a table.
#[derive(Clone, Debug)]
pub struct Marker {
    /// Name of the load pattern.
    pub pattern: String,
    /// Load pattern to run.
    pub run: patterns::Pattern,
    /// Deployment to simulate.
    pub site: sim::Site,
    /// Load relative to the slots, for patterns that take one.
    pub load: f64,
    /// Layout of the table.
    pub layout: layout::Layout,
    /// Names of the columns; empty for the default columns of the layout.
    pub columns: Vec<String>,
}

/// Whether the line is a marker.
pub fn is_marker(line: &str) -> bool {
    line.starts_with(MARKER_OPEN) && line.ends_with(MARKER_CLOSE)
}

/// Parses a marker line. Returns `None` for any other line.
pub fn parse(line: &str) -> Option<Result<Marker, PageError>> {
    let words = line.strip_prefix(MARKER_OPEN)?.strip_suffix(MARKER_CLOSE)?;
    Some(parse_words(line, words))
}

fn parse_words(line: &str, words: &str) -> Result<Marker, PageError> {
    let bad = |e: pico_args::Error| PageError::BadMarker(line.to_owned(), e.to_string());
    let words = words.split_whitespace().map(ffi::OsString::from).collect();
    let mut args = pico_args::Arguments::from_vec(words);
    let site: Option<String> = args.opt_value_from_str("--site").map_err(bad)?;
    let load = args.opt_value_from_str("--load").map_err(bad)?;
    let layout: Option<String> = args.opt_value_from_str("--layout").map_err(bad)?;
    let columns: Option<String> = args.opt_value_from_str("--columns").map_err(bad)?;
    let name: String = args.free_from_str().map_err(bad)?;
    let rest = args.finish();
    if !rest.is_empty() {
        let why = "unexpected arguments".to_owned();
        return Err(PageError::BadMarker(line.to_owned(), why));
    }
    let unknown = || PageError::Unknown(line.to_owned());
    let parse_layout = |name: &str| layout::Layout::try_from(name);
    let layout = layout
        .as_deref()
        .map_or(Ok(layout::Layout::Seeds), parse_layout);
    let marker = Marker {
        run: patterns::find(&name).ok_or_else(unknown)?,
        pattern: name,
        site: find_site(site.as_deref()).ok_or_else(unknown)?,
        load: load.unwrap_or(DEFAULT_LOAD),
        layout: layout.map_err(|why| PageError::BadMarker(line.to_owned(), why))?,
        columns: columns.map_or_else(Vec::new, |names| {
            names.split(',').map(str::to_owned).collect()
        }),
    };
    layout::columns(&marker).map_err(|why| PageError::BadMarker(line.to_owned(), why))?;
    Ok(marker)
}

fn find_site(name: Option<&str>) -> Option<sim::Site> {
    match name {
        None | Some("taipa") => Some(sim::Site::taipa()),
        Some("formulario") => Some(sim::Site::formulario()),
        Some(_) => None,
    }
}
