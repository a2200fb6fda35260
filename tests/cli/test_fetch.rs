//! Tests of `fetch`.

use bulrushtiller::codes;

use super::fake_entry;
use super::workdir;

#[actix_rt::test]
async fn id_is_percent_encoded_and_next_entry_is_called() {
    let behaviour = fake_entry::Behaviour::Answer(codes::Code::Complete);
    let entry = fake_entry::FakeEntry::start("e1", behaviour);
    let dir = workdir::Workdir::new();
    let entries = format!("{},{}", workdir::UNUSED_ADDRESS, entry.address());

    let args = [
        "fetch",
        "t:e1:1:1:1",
        "--entries",
        &entries,
        "--token",
        workdir::TOKEN,
    ];
    let run = dir.run_async(&args).await;

    assert_eq!(run.status, 0, "{run:?}");
    assert_eq!(
        entry.calls()[0].line,
        "GET /v1/submissions/t%3Ae1%3A1%3A1%3A1?wait_ms=0"
    );
}
