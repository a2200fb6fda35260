//! The operators' page against the code: every event of the logs stands on it.

use std::collections;
use std::fs;
use std::path;

const PAGE: &str = include_str!("../../docs/OPERATIONS.md");

/// What stands before an event's name in the code.
const MARK: &str = "event = \"";

/// The text of all of the product's source files.
fn sources(folder: &path::Path) -> String {
    let entries = fs::read_dir(folder).expect("the folder is there");
    let paths = entries.map(|entry| entry.expect("the folder can be read").path());
    let texts = paths.map(|path| {
        if path.is_dir() {
            return sources(&path);
        }
        fs::read_to_string(path).expect("the file is text")
    });
    texts.collect()
}

fn events_of_code(text: &str) -> collections::BTreeSet<&str> {
    let after = text.split(MARK).skip(1);
    after.filter_map(|rest| rest.split('"').next()).collect()
}

/// The names in the first column of the table of events.
fn events_of_page() -> collections::BTreeSet<&'static str> {
    let (_, table) = PAGE.split_once("| `event` |").expect("the table");
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
fn page_lists_every_event() {
    let text = sources(&path::Path::new(env!("CARGO_MANIFEST_DIR")).join("src"));

    let (code, page) = (events_of_code(&text), events_of_page());

    assert!(code.len() > 30, "{code:?}");
    assert_eq!(&code - &page, collections::BTreeSet::new(), "not listed");
    // A name that is chosen when the line is written stands in the code without the mark.
    let is_unknown = |event: &&&str| !text.contains(&format!("\"{event}\""));
    let unknown: Vec<_> = page.iter().filter(is_unknown).collect();
    assert_eq!(unknown, Vec::<&&str>::new(), "not in the code");
}
