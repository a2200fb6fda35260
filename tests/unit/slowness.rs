//! Weight of run times as evidence against a backend server.

use bulrushtiller::codes;
use bulrushtiller::health;
use bulrushtiller::health::kinds;
use bulrushtiller::health::slowness;

/// Number of ended tasks by which a kind is known well.
const SAMPLES: u64 = 100;

fn observation(attempt: u64, kind: health::Kind, run_ms: u64) -> health::Observation {
    health::Observation {
        attempt,
        job: attempt,
        kind,
        sent_ms: 1_000_000 + attempt,
        run_ms,
        expected_ms: 100,
        code: codes::Code::Complete,
    }
}

/// Returns a kind whose tasks all took about as long as expected.
fn known_kind() -> (kinds::Kinds, health::Kind) {
    let mut kinds = kinds::Kinds::default();
    let kind = kinds.intern("escola", "check");
    for attempt in 0..SAMPLES {
        kinds.record_run_time(&observation(attempt, kind, 95 + attempt % 10));
    }
    (kinds, kind)
}

/// Guards against a suspended server that is trusted again the longer its tasks hang.
#[test]
fn hanging_task_weighs_no_less_the_longer_it_hangs() {
    let (kinds, kind) = known_kind();
    let distribution = kinds.known_distribution(kind).expect("enough samples");
    let weight = |run_ms| {
        let excess = kinds.excess(&observation(SAMPLES, kind, run_ms));
        slowness::llr_running(excess, distribution)
    };

    let in_time = weight(100);
    let hanging = [400, 600, 800, 1_600, 100_000].map(weight);

    assert!(hanging.is_sorted(), "{hanging:?}");
    assert!(hanging[0] > 3.0 * in_time, "{in_time} {hanging:?}");
}
