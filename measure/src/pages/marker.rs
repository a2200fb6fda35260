//! The lines that say which table stands below them.

use std::ffi;

use quick_error::quick_error;

use crate::pages::layout;
use crate::patterns;
use crate::sim;

quick_error! {
    /// Why a page can't be renewed.
    #[derive(Debug)]
    pub enum PageError {
        /// No load pattern or deployment has this name.
        Unknown(line: String) {
            display("no such pattern or site: {line}")
        }
        /// The line can't be read.
        BadMarker(line: String, why: String) {
            display("{why}: {line}")
        }
        /// A table has no end.
        Unclosed(before: String) {
            display("a table has no end before: {before}")
        }
    }
}

/// Begin and end of a line that stands above a table.
const OPEN: &str = "<!-- table ";
const CLOSE: &str = " -->";

/// Load where the marker names none, as a part of the slots.
const LOAD: f64 = 0.7;

/// Which table stands below.
#[derive(Clone, Debug)]
pub struct Marker {
    /// Name of the load pattern.
    pub pattern: String,
    /// Runs it.
    pub run: patterns::Pattern,
    /// At which deployment.
    pub site: sim::Site,
    /// Load as a part of the slots, for the patterns that take one.
    pub load: f64,
    /// How it is printed.
    pub layout: layout::Layout,
    /// Names of the columns; empty: those of the layout.
    pub columns: Vec<String>,
}

/// Whether a table stands below this line.
pub fn is_marker(line: &str) -> bool {
    line.starts_with(OPEN) && line.ends_with(CLOSE)
}

/// Reads a line; none: it is prose.
pub fn parse(line: &str) -> Option<Result<Marker, PageError>> {
    let words = line.strip_prefix(OPEN)?.strip_suffix(CLOSE)?;
    Some(read(line, words))
}

fn read(line: &str, words: &str) -> Result<Marker, PageError> {
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
        let why = "too many words".to_owned();
        return Err(PageError::BadMarker(line.to_owned(), why));
    }
    let unknown = || PageError::Unknown(line.to_owned());
    let of_layout = |name: &str| layout::Layout::try_from(name);
    let layout = layout
        .as_deref()
        .map_or(Ok(layout::Layout::Seeds), of_layout);
    let marker = Marker {
        run: patterns::find(&name).ok_or_else(unknown)?,
        pattern: name,
        site: site_of(site.as_deref()).ok_or_else(unknown)?,
        load: load.unwrap_or(LOAD),
        layout: layout.map_err(|why| PageError::BadMarker(line.to_owned(), why))?,
        columns: columns.map_or_else(Vec::new, |names| {
            names.split(',').map(str::to_owned).collect()
        }),
    };
    layout::columns(&marker).map_err(|why| PageError::BadMarker(line.to_owned(), why))?;
    Ok(marker)
}

fn site_of(name: Option<&str>) -> Option<sim::Site> {
    match name {
        None | Some("taipa") => Some(sim::Site::taipa()),
        Some("formulario") => Some(sim::Site::formulario()),
        Some(_) => None,
    }
}
