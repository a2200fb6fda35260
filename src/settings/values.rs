//! The validated settings that the rest of the program reads.
//!
//! All times are in milliseconds. `docs/SETTINGS.md` gives the reason for each default.

use std::collections;

use smol_str::SmolStr;

/// All settings, merged and validated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// `[teams.NAME]`.
    pub teams: collections::BTreeMap<SmolStr, Team>,
    /// `[zones.NAME]`; a zone that is not listed is in service.
    pub zones: collections::BTreeMap<SmolStr, Zone>,
    /// `[limits]`.
    pub limits: Limits,
    /// `[timeouts]`.
    pub timeouts: Timeouts,
    /// `[policy]`.
    pub policy: Policy,
}

impl Settings {
    /// Returns whether operators have taken the availability zone out of service.
    pub fn is_zone_out(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|zone| zone.out)
    }

    /// Returns the names of the availability zones that are out of service.
    pub fn zones_out(&self) -> Vec<SmolStr> {
        let out = self.zones.iter().filter(|(_, zone)| zone.out);
        out.map(|(name, _)| name.clone()).collect()
    }
}

/// One team: its tokens, share and quota.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Team {
    /// Weight of the team when several teams compete for slots, 1 to 1000.
    pub weight: u32,
    /// Maximum number of tasks that an entry runs for the team at once.
    pub max_running: u32,
    /// Maximum number of the team's tasks that are queued at an entry.
    pub max_queued: u32,
    /// SHA-256 hashes of the team's bearer tokens, in lower-case hexadecimal.
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

/// Settings of one availability zone.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Zone {
    /// Whether operators have taken the zone out of service.
    pub out: bool,
}

/// Limits on what callers may send and what a process keeps.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum number of tasks in a job.
    pub max_job_tasks: u32,
    /// Maximum size of the body of a caller's request, in bytes.
    pub max_body_bytes: u32,
    /// Maximum size of a task's payload, in bytes.
    pub max_payload_bytes: u32,
    /// Maximum number of tasks queued at an entry, over all teams.
    pub max_queued: u32,
    /// Maximum number of submissions that an entry keeps in memory.
    pub max_submissions: u32,
    /// Maximum time that one call may wait for its answer.
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

/// Timeouts and intervals.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timeouts {
    /// Interval between heartbeats to the same entry.
    pub heartbeat_ms: u32,
    /// Time without a heartbeat after which a process is considered dead.
    pub dead_after_ms: u32,
    /// Maximum age of the freshness evidence on which a task may be started.
    pub fresh_ms: u32,
    /// Time beyond its expected end after which an unanswered dispatch is queried.
    pub query_after_ms: u32,
    /// Maximum time that a dispatch waits for a slot at its runner.
    pub park_ms: u32,
    /// Maximum run time of a task.
    pub run_limit_ms: u32,
    /// Default deadline of a submission.
    pub deadline_ms: u32,
    /// Maximum duration of a graceful stop.
    pub drain_ms: u32,
    /// Retention of answers and of the record of started tasks.
    pub retain_ms: u32,
    /// Retention of an answer's outputs after the answer was last sent or requested.
    pub answer_ms: u32,
    /// Age of the latest checkpoint after which a new one is written.
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

/// Parameters of scheduling under load; `docs/DECISIONS.md` explains them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Expected queue wait above which a submission is rejected.
    pub max_queue_wait_ms: u32,
    /// Maximum number of tasks that an entry may have waiting at one runner.
    pub park_per_runner: u32,
    /// Number of free slots that a runner in another zone must have over a local one to be
    /// preferred.
    pub near_zone_bias: u32,
    /// Long-term ratio of retries to first attempts.
    pub retry_ratio: f64,
    /// Maximum burst of retries.
    pub retry_burst: u32,
    /// Maximum fraction of the runners that may be ejected at once.
    pub eject_fraction: f64,
    /// Number of consecutive failures, from at least two teams or kinds, that ejects a runner.
    pub eject_failures: u32,
    /// Duration of a runner's first ejection.
    pub eject_ms: u32,
    /// Time over which a returning zone's share ramps up to its full value.
    pub ramp_ms: u32,
    /// Queue wait after which a long task is scheduled before shorter ones.
    pub age_ms: u32,
    /// Fraction of free slots below which a submission is passed on to the leading
    /// entry; 0 disables this.
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
