//! Records, batches and folders for the tests of settings and the audit trail.

use bulrushtiller::settings;
use bulrushtiller::settings::merge;
use bulrushtiller::settings::reader;
use bulrushtiller::settings::record;
use proptest::test_runner;
use smol_str::SmolStr;

/// Returns a test runner with deterministic cases.
pub(crate) fn fixed_runner(cases: u32) -> test_runner::TestRunner {
    let config = test_runner::Config {
        cases,
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let algorithm = test_runner::RngAlgorithm::ChaCha;
    let rng = test_runner::TestRng::deterministic_rng(algorithm);
    test_runner::TestRunner::new_with_rng(config, rng)
}

pub(crate) fn folder(files: &[(&str, &str)]) -> merge::Files {
    let to_owned_pair = |(name, text): &(&str, &str)| (SmolStr::new(name), (*text).to_owned());
    files.iter().map(to_owned_pair).collect()
}

/// Returns a change of `10.toml` whose author is its id.
pub(crate) fn change(id: &str, text: Option<&str>, base: Option<u64>) -> settings::Change {
    settings::Change {
        version: record::VERSION,
        id: SmolStr::new(id),
        author: SmolStr::new(id),
        time_ms: 1_700_000_000_000,
        file: SmolStr::new("10.toml"),
        text: text.map(str::to_owned),
        base,
    }
}

pub(crate) fn document(record: &settings::Record) -> serde_json::Value {
    serde_json::to_value(record).expect("a record can be encoded")
}

pub(crate) fn change_document(change: settings::Change) -> serde_json::Value {
    document(&settings::Record::Change(change))
}

pub(crate) fn checkpoint_document(checkpoint: settings::Checkpoint) -> serde_json::Value {
    document(&settings::Record::Checkpoint(checkpoint))
}

/// Assigns consecutive offsets to documents, from `first` on.
pub(crate) fn entries(first: u64, documents: &[serde_json::Value]) -> Vec<reader::Entry> {
    (first..)
        .zip(documents.iter().cloned())
        .map(|(offset, document)| reader::Entry { offset, document })
        .collect()
}

/// Returns a batch with all records of a log whose oldest kept offset is `first`.
pub(crate) fn batch(first: u64, documents: &[serde_json::Value]) -> reader::Batch {
    reader::Batch {
        first,
        next: first + documents.len() as u64,
        entries: entries(first, documents),
    }
}
