//! Compares the log events in the source with those in `docs/OPERATIONS.md`.

use std::collections;
use std::fs;
use std::path;

const PAGE: &str = include_str!("../../docs/OPERATIONS.md");

/// Text that precedes an event name in the source.
const EVENT_PREFIX: &str = "event = \"";

/// Returns the concatenated text of all source files below a folder.
fn sources(folder: &path::Path) -> String {
    let entries = fs::read_dir(folder).expect("the folder exists");
    let paths = entries.map(|entry| entry.expect("the folder is readable").path());
    let texts = paths.map(|path| {
        if path.is_dir() {
            return sources(&path);
        }
        fs::read_to_string(path).expect("the file is UTF-8")
    });
    texts.collect()
}

fn source_events(text: &str) -> collections::BTreeSet<&str> {
    let after = text.split(EVENT_PREFIX).skip(1);
    after.filter_map(|rest| rest.split('"').next()).collect()
}

/// Returns the names in the first column of the page's table of events.
fn page_events() -> collections::BTreeSet<&'static str> {
    let (_, table) = PAGE
        .split_once("| `event` |")
        .expect("the page has a table of events");
    let rows = table
        .lines()
        .skip(2)
        .take_while(|line| line.starts_with('|'));
    let first = rows.filter_map(|row| row.split('|').nth(1));
    first
        .flat_map(|cell| cell.split('`').skip(1).step_by(2))
        .collect()
}

#[test]
fn page_lists_exactly_the_logged_events() {
    let text = sources(&path::Path::new(env!("CARGO_MANIFEST_DIR")).join("src"));

    let (code, page) = (source_events(&text), page_events());

    assert!(code.len() > 30, "{code:?}");
    assert_eq!(
        &code - &page,
        collections::BTreeSet::new(),
        "logged but not on the page"
    );
    // An event name that is selected at run time occurs in the source without the prefix.
    let is_unknown = |event: &&&str| !text.contains(&format!("\"{event}\""));
    let unknown: Vec<_> = page.iter().filter(is_unknown).collect();
    assert_eq!(
        unknown,
        Vec::<&&str>::new(),
        "on the page but not in the source"
    );
}
