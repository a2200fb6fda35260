//! Renewal of measurement pages: tables are replaced, and prose is kept.

use std::fs;
use std::path;

use bulrushtiller_measure::pages;
use bulrushtiller_measure::patterns;
use rstest::rstest;

const PAGES: &[&str] = &[
    "MEASUREMENTS.md",
    "MEASUREMENTS-PLACEMENT.md",
    "MEASUREMENTS-FAULTS.md",
];

fn page(name: &str) -> String {
    let folder = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs");
    fs::read_to_string(folder.join(name)).unwrap()
}

fn page_with(marker: &str) -> String {
    format!("# A page\n\nBefore.\n\n{marker}\n| old |\n<!-- end -->\n\nAfter.\n")
}

#[test]
fn replaced_tables_keep_prose() {
    let marker = "<!-- table steady --load 0.5 -->";
    let tables = vec!["| new |\n".to_owned()];

    let renewed = pages::replace(&page_with(marker), &tables).unwrap();

    let expected = page_with(marker).replace("| old |", "| new |");
    assert_eq!(renewed, expected);
}

#[rstest]
#[case::unknown_pattern(&page_with("<!-- table stady -->"))]
#[case::unknown_site(&page_with("<!-- table steady --site taip -->"))]
#[case::unknown_layout(&page_with("<!-- table steady --layout wide -->"))]
#[case::unknown_column(&page_with("<!-- table steady --columns p98 -->"))]
#[case::load_not_a_number(&page_with("<!-- table steady --load much -->"))]
#[case::extra_argument(&page_with("<!-- table steady burst -->"))]
fn invalid_marker_is_an_error(#[case] page: &str) {
    let read = pages::markers(page);

    assert!(read.is_err(), "{read:?}");
}

#[rstest]
#[case::last_table("<!-- table steady -->\n| old |\n")]
#[case::before_next_table("<!-- table steady -->\n| old |\n<!-- table burst -->\n<!-- end -->\n")]
fn table_without_end_line_is_an_error(#[case] page: &str) {
    let renewed = pages::replace(page, &[String::new(), String::new()]);

    assert!(renewed.is_err(), "{renewed:?}");
}

#[test]
fn every_pattern_has_a_table_on_a_page() {
    let of_page = |name: &&str| pages::markers(&page(name)).unwrap();
    let tables: Vec<_> = PAGES.iter().flat_map(of_page).collect();

    for (name, _) in patterns::ALL {
        let is_there = tables.iter().any(|table| table.pattern == *name);
        assert!(is_there, "no page has a table of {name}");
    }
}
