//! The checked settings that the rest of the program reads.
//!
//! All times are milliseconds. Every default's ground is in `docs/SETTINGS.md`.

use std::collections;

use smol_str::SmolStr;

/// All settings, merged and checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// `[teams.NAME]`.
    pub teams: collections::BTreeMap<SmolStr, Team>,
    /// `[zones.NAME]`; a zone that is not named is in service.
    pub zones: collections::BTreeMap<SmolStr, Zone>,
    /// `[limits]`.
    pub limits: Limits,
    /// `[timeouts]`.
    pub timeouts: Timeouts,
    /// `[policy]`.
    pub policy: Policy,
}

impl Settings {
    /// Whether operators have taken the availability zone out of service.
    pub fn is_zone_out(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|zone| zone.out)
    }

    /// Names of the availability zones out of service.
    pub fn zones_out(&self) -> Vec<SmolStr> {
        let out = self.zones.iter().filter(|(_, zone)| zone.out);
        out.map(|(name, _)| name.clone()).collect()
    }
}

/// One team: who may call, and its share and quota.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Team {
    /// Its share of the slots beside other teams that want them too, 1 to 1000.
    pub weight: u32,
    /// Most tasks that an entry has handed out for it at once.
    pub max_running: u32,
    /// Most tasks that wait for it at an entry.
    pub max_queued: u32,
    /// SHA-256 of its bearer tokens, in lower-case hexadecimal.
    pub token_sha256: Vec<SmolStr>,
}

impl Default for Team {
    fn default() -> Self {
        Self {
            weight: 1,
            max_running: 100_000,
            max_queued: 10_000,
            token_sha256: Vec::new(),
        }
    }
}

/// One availability zone.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Zone {
    /// Whether operators have taken it out of service.
    pub out: bool,
}

/// Bounds on what callers may send and what a process keeps.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Most tasks of a job.
    pub max_job_tasks: u32,
    /// Largest body of a caller's request, in bytes.
    pub max_body_bytes: u32,
    /// Largest payload of a task, in bytes.
    pub max_payload_bytes: u32,
    /// Most tasks that wait at an entry, over all teams.
    pub max_queued: u32,
    /// Most submissions that an entry remembers.
    pub max_submissions: u32,
    /// Longest wait of one call.
    pub max_wait_ms: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_job_tasks: 280,
            max_body_bytes: 4 << 20,
            max_payload_bytes: 64 << 10,
            max_queued: 20_000,
            max_submissions: 50_000,
            max_wait_ms: 60_000,
        }
    }
}

/// How long things may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timeouts {
    /// Between two heartbeats to the same entry.
    pub heartbeat_ms: u32,
    /// Silence after which a process is taken for dead.
    pub dead_after_ms: u32,
    /// Greatest age of the evidence on which a task may be started.
    pub fresh_ms: u32,
    /// Silence of a dispatch, beyond its expected time, before it is asked about.
    pub query_after_ms: u32,
    /// Longest wait of a dispatch for a slot at its runner.
    pub park_ms: u32,
    /// Longest run of a task.
    pub run_limit_ms: u32,
    /// Deadline of a submission that names none.
    pub deadline_ms: u32,
    /// Longest graceful stop.
    pub drain_ms: u32,
    /// How long answers and started tasks are remembered.
    pub retain_ms: u32,
    /// How long answers are kept with their outputs after they were told or asked for.
    pub answer_ms: u32,
    /// Age of the last checkpoint after which another is written.
    pub checkpoint_ms: u32,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            heartbeat_ms: 500,
            dead_after_ms: 3_000,
            fresh_ms: 3_000,
            query_after_ms: 1_000,
            park_ms: 2_000,
            run_limit_ms: 30_000,
            deadline_ms: 60_000,
            drain_ms: 40_000,
            retain_ms: 120_000,
            answer_ms: 120_000,
            checkpoint_ms: 60_000,
        }
    }
}

/// Knobs of the decisions under load; `docs/DECISIONS.md` has their grounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Expected wait in the queue over which a submission is refused.
    pub max_queue_wait_ms: u32,
    /// Tasks that an entry may have waiting at one runner.
    pub park_per_runner: u32,
    /// Free slots by which a runner of another zone must be better.
    pub near_zone_bias: u32,
    /// Retries per first attempt, over time.
    pub retry_ratio: f64,
    /// Retries that may come at once.
    pub retry_burst: u32,
    /// Greatest part of the runners that may be ejected at once.
    pub eject_fraction: f64,
    /// Consecutive failures, from at least two teams or kinds, that eject.
    pub eject_failures: u32,
    /// How long an ejected runner stays out at first.
    pub eject_ms: u32,
    /// Time over which a returning zone's share grows to its whole.
    pub ramp_ms: u32,
    /// Wait after which a long task goes before shorter ones.
    pub age_ms: u32,
    /// Part of the slots below whose being free a submission is passed on to the
    /// leading entry; 0: never.
    pub pass_on_below: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            max_queue_wait_ms: 5_000,
            park_per_runner: 1,
            near_zone_bias: 1,
            retry_ratio: 0.1,
            retry_burst: 10,
            eject_fraction: 0.3,
            eject_failures: 5,
            eject_ms: 5_000,
            ramp_ms: 3_000,
            age_ms: 5_000,
            pass_on_below: 0.5,
        }
    }
}
