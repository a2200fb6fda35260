//! Result codes, compared with their table in the documentation.

use std::collections;
use std::fmt::Write as _;

use bulrushtiller::codes;

const PAGE: &str = include_str!("../../docs/RESULT-CODES.md");

fn table() -> String {
    let mut table = String::from("| code | HTTP | exit | meaning |\n| --- | --- | --- | --- |\n");
    for code in codes::Code::ALL {
        let (number, http, exit) = (code.number(), code.http_status(), code.exit_status());
        writeln!(table, "| {number} | {http} | {exit} | {} |", code.text())
            .expect("writing to a string succeeds");
    }
    table
}

#[test]
fn documentation_contains_the_code_table() {
    let expected = table();

    assert!(
        PAGE.contains(&expected),
        "docs/RESULT-CODES.md does not contain this table:\n{expected}"
    );
}

#[test]
fn every_code_has_a_unique_number() {
    let numbers: collections::BTreeSet<u16> =
        codes::Code::ALL.iter().map(|code| code.number()).collect();

    assert_eq!(numbers.len(), codes::Code::ALL.len());
    for code in codes::Code::ALL {
        assert_eq!(codes::Code::try_from(code.number()), Ok(*code));
    }
}

#[test]
fn unknown_number_is_rejected() {
    assert_eq!(
        codes::Code::try_from(99),
        Err(codes::CodeError::Unknown(99))
    );
}
