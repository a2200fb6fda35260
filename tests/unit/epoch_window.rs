//! The window of epochs, compared with a list of all epochs that were ever sent.

use bulrushtiller::epoch_window;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use rstest::rstest;

use crate::settings::fixtures;

const LENGTH_MS: u64 = 100;

// If a record were dropped while a repeat of its message is still accepted, the repeat would
// start the task a second time.
#[test]
fn record_is_kept_as_long_as_its_message_is_accepted() {
    let mut runner = fixtures::fixed_runner(256);
    let pauses = proptest::collection::vec(0_u64..250, 1..40);

    let result = runner.run(&pauses, |pauses| {
        let mut now_ms = 7;
        let mut epochs = epoch_window::EpochWindow::new(now_ms);
        let mut sent = Vec::new();
        let mut expected = 1;
        for pause in pauses {
            now_ms += pause;
            expected += u64::from(epochs.advance(now_ms, LENGTH_MS));
            sent.push(epochs.current());
            prop_assert_eq!(epochs.current(), expected);
            for message in &sent {
                let is_recent = *message + 1 >= expected;
                prop_assert_eq!(epochs.contains(*message), is_recent);
                for tag in sent.iter().filter(|tag| *tag >= message) {
                    let is_dropped = !epochs.contains(*tag);
                    prop_assert!(!is_dropped || !epochs.contains(*message));
                }
            }
        }
        Ok(())
    });

    assert_eq!(result, Ok(()));
}

#[rstest]
#[case::zero(0)]
#[case::future(2)]
#[case::largest(u64::MAX)]
fn epoch_that_was_never_sent_is_refused_except_zero(#[case] epoch: u64) {
    let epochs = epoch_window::EpochWindow::new(0);

    let is_accepted = epochs.contains(epoch);

    // Epoch 0 is the one before the first; no record of it can have been dropped.
    assert_eq!(is_accepted, epoch == 0);
}
