//! Watches at a runner that was silent for a while.

use bulrushtiller::leased::dispatch;
use bulrushtiller::leased::dispatch::runners;
use rstest::rstest;

use super::fixtures;
use super::fixtures::START_MS;

/// Guards against a runner that answers again, but gets no work for the wait of another watch.
#[rstest]
#[case::seen_lately(runners::SILENT_MS, dispatch::IDLE_WATCH_WAIT_MS)]
#[case::silent(runners::SILENT_MS + 1, 0)]
fn watch_at_a_silent_runner_is_answered_at_once(#[case] silence_ms: u64, #[case] wait_ms: u64) {
    let (mut entry, key) = fixtures::entry();

    let (_, watch) = entry
        .next_watch(START_MS + silence_ms, key)
        .expect("a watch");

    assert_eq!(watch.wait_ms, wait_ms);
}
