//! Pages of the log with records of another writer.

use bulrushtiller::client::log;
use bulrushtiller::settings;
use bulrushtiller::settings::reader;
use rstest::rstest;

fn nested(depth: usize) -> String {
    [vec!["["; depth], vec!["]"; depth]].concat().concat()
}

/// Guards against a stream that is never read beyond an odd record: its page failed as a whole, and
/// was requested again and again.
#[rstest]
#[case::deep(nested(200))]
#[case::very_deep(nested(100_000))]
#[case::number_too_large("1e400".to_owned())]
#[case::half_of_a_surrogate_pair(r#""\ud800""#.to_owned())]
fn record_that_cannot_be_decoded_hides_no_other(#[case] odd: String) {
    let page = format!(
        r#"{{"first":0,"next":3,"records":[{{"offset":0,"record":{{}}}},{{"offset":1,"record":{odd}}},{{"offset":2,"record":{{}}}}]}}"#
    );
    let mut reader = settings::Reader::new(settings::State::new(), 0);

    let page: log::Page = serde_json::from_str(&page).expect("a page");
    let outcome = reader.apply_batch(0, reader::Batch::from(page));

    assert_eq!(outcome.applied.len(), 3);
    assert_eq!(outcome.read_status, reader::ReadStatus::AtEnd);
    assert_eq!(reader.read_from(), 3);
}
