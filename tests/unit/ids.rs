//! Parsing and formatting of ids.

use bulrushtiller::ids;
use proptest::prelude::*;
use rstest::rstest;
use smol_str::SmolStr;

use crate::fixed_seed;

#[rstest]
#[case("t:entry-1:661aec498d38f134:1:2")]
#[case("own")]
#[case("a.b:c_d-e")]
fn valid_id_round_trips(#[case] text: &str) {
    let id = ids::SubmissionId::try_from(SmolStr::new(text)).expect("a valid id");

    let written = SmolStr::from(id);

    assert_eq!(written, text);
}

#[rstest]
#[case("")]
#[case("a b")]
#[case("a/b")]
#[case("é")]
#[case("t:")]
#[case("t:entry-1:1:2")]
#[case("t:entry-1:1:2:3:4")]
#[case("t:entry 1:1:2:3")]
#[case("t::1:2:3")]
#[case("t:entry-1:x:2:3")]
#[case("t:entry-1:-1:2:3")]
#[case("t:entry-1:+1:2:3")]
#[case("t:entry-1:01:2:3")]
#[case("t:entry-1:A:2:3")]
#[case("t:entry-1:11111111111111111:2:3")]
fn invalid_id_is_rejected(#[case] text: &str) {
    let parsed = ids::SubmissionId::try_from(SmolStr::new(text));

    assert!(parsed.is_err(), "{parsed:?}");
}

proptest! {
    #![proptest_config(fixed_seed::cases(2_000))]

    /// Ids are compared as texts, so every ticket must have exactly one text form.
    #[test]
    fn accepted_text_is_canonical(text in "(t:)?[a-z]{1,3}[ -~\u{e9}]{0,2}(:[+0]?[0-9a-fA-F]{1,2}){0,4}") {
        let text = SmolStr::new(text);

        let parsed = ids::SubmissionId::try_from(text.clone());

        if let Ok(id) = parsed {
            prop_assert_eq!(SmolStr::from(id), text);
        }
    }

    #[test]
    fn ticket_round_trips(name in "[a-zA-Z0-9_-]{1,64}", parts: [u64; 3]) {
        let ticket = ids::SubmissionId::Ticket(ids::Ticket {
            entry: name.into(),
            incarnation: ids::Incarnation(parts[0]),
            epoch: parts[1],
            number: parts[2],
        });

        let read = ids::SubmissionId::try_from(SmolStr::from(ticket.clone()));

        prop_assert_eq!(read, Ok(ticket));
    }
}
