//! Outcomes that a runner reports for stopped tasks, and its heartbeat when its zone returns.

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

/// Returns a runner on which the attempt runs.
fn runner_with_running_task() -> core::Core {
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

// A runner is suspended for longer than the leases of its tasks, so the worker stops them.
// Callers that cancelled nothing must not receive the code for a cancelled job.
#[test]
fn task_stopped_without_a_request_reports_a_lapsed_lease() {
    let mut runner = runner_with_running_task();

    let actions = runner.ended(NOW_MS + 6_000, ATTEMPT, stopped());

    assert_eq!(code_of(&actions), Some(codes::Code::LeaseLapsed));
}

#[test]
fn task_stopped_by_a_fence_reports_cancellation() {
    let mut runner = runner_with_running_task();
    let fence = wire::Fence {
        version: wire::VERSION,
        incarnation: ids::Incarnation(1),
        attempts: vec![ATTEMPT],
        bar: true,
        stop: true,
    };

    let (_, fence_actions) = runner.fence(NOW_MS, &fence);
    let actions = runner.ended(NOW_MS + 10, ATTEMPT, stopped());

    assert_eq!(fence_actions, vec![core::Action::Stop(ATTEMPT)]);
    assert_eq!(code_of(&actions), Some(codes::Code::Cancelled));
}

fn zones_out(zones: &[&str]) -> sync::Arc<settings::Settings> {
    let mut settings = settings::Settings::default();
    for zone in zones {
        let zone_out = settings::Zone { out: true };
        settings.zones.insert((*zone).into(), zone_out);
    }
    sync::Arc::new(settings)
}

// A zone returns to service under load. Entries send no tasks to its runners until these have
// reported the new settings, so its slots would stay idle until the next heartbeat.
#[rstest]
#[case::zone_returns(&["caxias"], &[], true)]
#[case::zone_stays_out(&["caxias"], &["caxias"], false)]
#[case::zone_stays_in(&[], &[], false)]
#[case::zone_goes_out(&[], &["caxias"], false)]
#[case::another_zone_returns(&["bento"], &[], false)]
fn runner_sends_heartbeats_at_once_when_its_zone_returns(
    #[case] before: &[&str],
    #[case] after: &[&str],
    #[case] sends: bool,
) {
    let parts = core::Parts {
        me: peer(),
        slots: 1,
        size: wire::Resources::default(),
    };
    let mut runner = core::Core::new(parts, zones_out(before), NOW_MS);

    let actions = runner.set_settings(zones_out(after));

    assert_eq!(actions.contains(&core::Action::SendHeartbeats), sends);
}
