//! Tests of `cancel`.

use bulrushtiller::codes;
use rstest::rstest;

use super::fake_entry;
use super::workdir;

#[rstest]
#[case::one(&["own-1"], "DELETE /v1/submissions/own-1")]
#[case::many(&["own-1", "own-2"], "POST /v1/cancel")]
#[actix_rt::test]
async fn cancelled_submissions_exit_with_success(#[case] ids: &[&str], #[case] line: &str) {
    let behaviour = fake_entry::Behaviour::Answer(codes::Code::Complete);
    let entry = fake_entry::FakeEntry::start("e1", behaviour);
    let dir = workdir::Workdir::new();
    let address = entry.address();
    let options = ["--entries", &address, "--token", workdir::TOKEN, "--json"];

    let run = dir.run_async(&[&["cancel"], ids, &options].concat()).await;

    assert_eq!(run.status, 0, "{run:?}");
    assert_eq!(run.json().as_array().unwrap().len(), ids.len());
    assert_eq!(entry.calls()[0].line, line);
}
