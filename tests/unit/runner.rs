//! What a runner makes of the ends that its backend server reports.

use std::sync;

use bulrushtiller::codes;
use bulrushtiller::ids;
use bulrushtiller::runner::core;
use bulrushtiller::settings;
use bulrushtiller::wire;
use rstest::rstest;

const NOW_MS: u64 = 1_000_000;

const ATTEMPT: ids::Attempt = ids::Attempt {
    owner: ids::Incarnation(7),
    number: 1,
};

fn peer() -> wire::Peer {
    wire::Peer {
        role: wire::Role::Runner,
        name: "runner-0".into(),
        incarnation: ids::Incarnation(1),
        zone: "caxias".into(),
        rack: "rack".into(),
        address: "runner-0".into(),
    }
}

/// A runner on which the attempt runs.
fn running() -> core::Core {
    let parts = core::Parts {
        me: peer(),
        slots: 1,
        size: wire::Resources::default(),
    };
    let settings = sync::Arc::new(settings::Settings::default());
    let mut runner = core::Core::new(parts, settings, NOW_MS);
    runner.freshness().record_log_read(NOW_MS);
    let dispatch = wire::Dispatch {
        version: wire::VERSION,
        attempt: ATTEMPT,
        incarnation: ids::Incarnation(1),
        epoch: 1,
        entry: "entry-0".into(),
        team: "escola".into(),
        kind: "fit".into(),
        payload: String::new(),
        resources: wire::Resources::default(),
        wait_ms: 1_000,
        slack_ms: 0,
        limit_ms: 30_000,
        submission: "s".into(),
        index: 0,
    };
    let actions = runner.dispatch(NOW_MS, dispatch);
    assert!(matches!(actions[..], [core::Action::Start(_)]));
    runner
}

fn stopped() -> core::End {
    core::End::Ended {
        code: codes::Code::Cancelled,
        output: String::new(),
        peak: wire::Resources::default(),
    }
}

fn code_of(actions: &[core::Action]) -> Option<codes::Code> {
    match actions {
        [core::Action::Answer(_, wire::Outcome::Ended { code, .. })] => Some(*code),
        _ => None,
    }
}

// A runner stands still for longer than its tasks' leases, and the worker stops them. The
// caller, who cancelled nothing, must not be told that the job was cancelled.
#[test]
fn task_stopped_without_being_asked_had_its_lease_lapse() {
    let mut runner = running();

    let actions = runner.ended(NOW_MS + 6_000, ATTEMPT, stopped());

    assert_eq!(code_of(&actions), Some(codes::Code::LeaseLapsed));
}

#[test]
fn task_stopped_for_its_entry_was_cancelled() {
    let mut runner = running();
    let fence = wire::Fence {
        version: wire::VERSION,
        incarnation: ids::Incarnation(1),
        attempts: vec![ATTEMPT],
        bar: true,
        stop: true,
    };

    let (_, told) = runner.fence(NOW_MS, &fence);
    let actions = runner.ended(NOW_MS + 10, ATTEMPT, stopped());

    assert_eq!(told, vec![core::Action::Stop(ATTEMPT)]);
    assert_eq!(code_of(&actions), Some(codes::Code::Cancelled));
}

fn zones_out(zones: &[&str]) -> sync::Arc<settings::Settings> {
    let mut settings = settings::Settings::default();
    for zone in zones {
        let out = settings::Zone { out: true };
        settings.zones.insert((*zone).into(), out);
    }
    sync::Arc::new(settings)
}

// A zone comes back under load. The entries send nothing to its runners before these have
// shown that they know, so each says so at once and not with its next heartbeat.
#[rstest]
#[case::comes_back(&["caxias"], &[], true)]
#[case::stays_out(&["caxias"], &["caxias"], false)]
#[case::stays_in(&[], &[], false)]
#[case::goes_out(&[], &["caxias"], false)]
#[case::another_zone_comes_back(&["bento"], &[], false)]
fn runner_tells_at_once_that_its_zone_is_back(
    #[case] before: &[&str],
    #[case] after: &[&str],
    #[case] tells: bool,
) {
    let parts = core::Parts {
        me: peer(),
        slots: 1,
        size: wire::Resources::default(),
    };
    let mut runner = core::Core::new(parts, zones_out(before), NOW_MS);

    let actions = runner.set_settings(zones_out(after));

    assert_eq!(actions.contains(&core::Action::SendHeartbeats), tells);
}
