//! Epochs, against a naive list of all that was ever handed out and recorded.

use bulrushtiller::epoch_window;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use rstest::rstest;

use crate::settings::fixtures;

const LENGTH_MS: u64 = 100;

// What would go wrong: a record is dropped although a repeat of its message would still be
// taken in, and the repeat starts the task a second time.
#[test]
fn record_outlives_every_message_that_it_guards_against() {
    let mut runner = fixtures::fixed_runner(256);
    let pauses = proptest::collection::vec(0_u64..250, 1..40);

    let result = runner.run(&pauses, |pauses| {
        let mut now_ms = 7;
        let mut epochs = epoch_window::EpochWindow::new(now_ms);
        let mut handed_out = Vec::new();
        let mut begun = 1;
        for pause in pauses {
            now_ms += pause;
            begun += u64::from(epochs.advance(now_ms, LENGTH_MS));
            handed_out.push(epochs.current());
            prop_assert_eq!(epochs.current(), begun);
            for message in &handed_out {
                let is_recent = *message + 1 >= begun;
                prop_assert_eq!(epochs.contains(*message), is_recent);
                for tag in handed_out.iter().filter(|tag| *tag >= message) {
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
#[case::never_begun(0)]
#[case::future(2)]
#[case::greatest(u64::MAX)]
fn foreign_epoch(#[case] epoch: u64) {
    let epochs = epoch_window::EpochWindow::new(0);

    let is_contained = epochs.contains(epoch);

    // Epoch 0 is the one before the first, of which nothing can have been forgotten.
    assert_eq!(is_contained, epoch == 0);
}
