//! Processes and messages for the slopes.

use std::sync;

use smol_str::SmolStr;

use bulrushtiller::api;
use bulrushtiller::entry::core as entry;
use bulrushtiller::ids;
use bulrushtiller::runner::core as runner;
use bulrushtiller::settings;
use bulrushtiller::wire;

/// Time at which the measurements start, milliseconds.
pub const NOW_MS: u64 = 10_000_000;

/// Number of teams expected in two years.
pub const TEAMS: u64 = 350;

/// Team of the measured work.
pub const TEAM: &str = "team-0";

/// Returns the identity of a process.
pub fn peer(role: wire::Role, index: u64) -> wire::Peer {
    wire::Peer {
        role,
        name: smol_str::format_smolstr!("process-{index:05}"),
        incarnation: ids::Incarnation(0x6600_0000_0000_0000 + index),
        zone: smol_str::format_smolstr!("zone-{}", index % 16),
        rack: smol_str::format_smolstr!("rack-{}", index / 40),
        address: smol_str::format_smolstr!("10.0.{}.{}:7000", index / 250, index % 250),
    }
}

/// Returns settings with the given number of teams and no queue limits.
pub fn settings(teams: u64) -> sync::Arc<settings::Settings> {
    let mut settings = settings::Settings::default();
    for at in 0..teams {
        let name = smol_str::format_smolstr!("team-{at}");
        let team = settings::Team {
            max_queued: u32::MAX,
            ..settings::Team::default()
        };
        settings.teams.insert(name, team);
    }
    settings.limits.max_queued = u32::MAX;
    settings.limits.max_submissions = u32::MAX;
    settings.policy.max_queue_wait_ms = u32::MAX;
    sync::Arc::new(settings)
}

/// Returns the load of a runner with 8 slots.
pub const fn load(sequence: u64, busy: u32) -> wire::Load {
    wire::Load {
        slots: 8,
        busy,
        parked: 0,
        size: wire::Resources {
            cpu_milli: 16_000,
            memory_mib: 32_768,
            accelerators: 1,
        },
        used: wire::Resources {
            cpu_milli: 0,
            memory_mib: 0,
            accelerators: 0,
        },
        mine: 0,
        mine_used: wire::Resources {
            cpu_milli: 0,
            memory_mib: 0,
            accelerators: 0,
        },
        epoch: 1,
        sequence,
    }
}

/// Returns a heartbeat of a runner.
pub fn heartbeat(index: u64, sequence: u64, busy: u32) -> wire::Heartbeat {
    wire::Heartbeat {
        version: wire::VERSION,
        sender: peer(wire::Role::Runner, index),
        leaving: false,
        revision: Some(42_000),
        evidence: wire::Evidence {
            log_age_ms: Some(700),
            foreign_age_ms: Some(700),
        },
        load: Some(load(sequence, busy)),
        slots: 0,
        tickets: 0,
        entries_held: None,
    }
}

/// Returns an entry that knows the given number of runners.
pub fn entry(runners: u64) -> entry::Core {
    let me = peer(wire::Role::Entry, 99_999);
    let mut core = entry::Core::new(me, settings(TEAMS), NOW_MS, 1);
    for at in 0..runners {
        core.heartbeat(NOW_MS, &heartbeat(at, 1, 0));
    }
    core
}

/// Returns a runner that may start dispatched tasks.
pub fn runner() -> runner::Core {
    let parts = runner::Parts {
        me: peer(wire::Role::Runner, 0),
        slots: 8,
        size: load(0, 0).size,
    };
    let mut core = runner::Core::new(parts, settings(TEAMS), NOW_MS);
    core.freshness().record_log_read(NOW_MS);
    core
}

/// Returns a submission with the given number of small tasks.
pub fn submission(tasks: usize) -> api::Submission {
    let task = api::Task {
        kind: SmolStr::new_static("check"),
        payload: "{\"wall\": 17, \"course\": 4, \"stone\": 233}".to_owned(),
        run_ms: 120,
        ..api::Task::default()
    };
    api::Submission {
        submission: None,
        deadline_ms: None,
        wait_ms: 0,
        idempotent: false,
        tasks: vec![task; tasks],
    }
}

/// Returns a dispatch for the runner of [`runner()`].
pub fn dispatch(number: u64) -> wire::Dispatch {
    wire::Dispatch {
        version: wire::VERSION,
        attempt: ids::Attempt {
            owner: ids::Incarnation(7),
            number,
        },
        incarnation: peer(wire::Role::Runner, 0).incarnation,
        epoch: 1,
        entry: SmolStr::new_static("entry-1"),
        team: SmolStr::new_static(TEAM),
        kind: SmolStr::new_static("check"),
        payload: "{\"wall\": 17, \"course\": 4, \"stone\": 233}".to_owned(),
        resources: wire::Resources::default(),
        wait_ms: 2_000,
        slack_ms: 0,
        limit_ms: 30_000,
        submission: SmolStr::new("t:entry-1:661aec498d38f134:1:2"),
        index: 0,
    }
}
