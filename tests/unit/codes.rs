//! The numbered results, against their table in the docs.

use std::collections;
use std::fmt::Write as _;

use bulrushtiller::codes;

const PAGE: &str = include_str!("../../docs/RESULT-CODES.md");

fn table() -> String {
    let mut table = String::from("| code | HTTP | exit | meaning |\n| --- | --- | --- | --- |\n");
    for code in codes::Code::ALL {
        let (number, http, exit) = (code.number(), code.http_status(), code.exit_status());
        writeln!(table, "| {number} | {http} | {exit} | {} |", code.text()).expect("memory");
    }
    table
}

#[test]
fn page_holds_the_table() {
    let expected = table();

    assert!(
        PAGE.contains(&expected),
        "docs/RESULT-CODES.md should hold:\n{expected}"
    );
}

#[test]
fn every_number_stands_for_one_code() {
    let numbers: collections::BTreeSet<u16> =
        codes::Code::ALL.iter().map(|code| code.number()).collect();

    assert_eq!(numbers.len(), codes::Code::ALL.len());
    for code in codes::Code::ALL {
        assert_eq!(codes::Code::try_from(code.number()), Ok(*code));
    }
}

#[test]
fn unknown_number_is_refused() {
    assert_eq!(
        codes::Code::try_from(99),
        Err(codes::CodeError::Unknown(99))
    );
}
