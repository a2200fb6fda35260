//! The range of each key; `docs/SETTINGS.md` has their grounds.

use std::ops;

/// Range of a whole number.
pub type Whole = ops::RangeInclusive<u32>;
/// Range of a ratio.
pub type Ratio = ops::RangeInclusive<f64>;

const MINUTE_MS: u32 = 60_000;

/// Largest file, in bytes.
pub const MAX_FILE_BYTES: usize = 64 << 10;
/// Largest folder, in bytes of its names and texts written as JSON strings.
///
/// Counted as JSON, since a checkpoint has to fit one record of the log (1 MiB)
/// together with [`MAX_RECENT`] ids.
pub const MAX_FOLDER_BYTES: usize = 512 << 10;
/// Most files of a folder.
pub const MAX_FILES: usize = 256;
/// Longest file name, in bytes.
pub const MAX_FILE_NAME_BYTES: usize = 64;
/// Most changes whose ids are remembered.
pub const MAX_RECENT: usize = 1024;
/// Longest author of a change, in bytes.
pub const MAX_AUTHOR_BYTES: usize = 128;

/// Digits of a token's SHA-256.
pub const TOKEN_HASH_DIGITS: usize = 64;
/// Most tokens of a team.
pub const MAX_TOKENS: usize = 64;

/// `teams.NAME.weight`.
pub const TEAM_WEIGHT: Whole = 1..=1_000;
/// `teams.NAME.max_running`.
pub const TEAM_MAX_RUNNING: Whole = 1..=1_000_000;
/// `teams.NAME.max_queued`.
pub const TEAM_MAX_QUEUED: Whole = 1..=1_000_000;

/// `limits.max_job_tasks`.
pub const MAX_JOB_TASKS: Whole = 1..=10_000;
/// `limits.max_body_bytes`.
pub const MAX_BODY_BYTES: Whole = 1_024..=64 << 20;
/// `limits.max_payload_bytes`.
pub const MAX_PAYLOAD_BYTES: Whole = 1..=1 << 20;
/// `limits.max_queued`.
pub const MAX_QUEUED: Whole = 1..=1_000_000;
/// `limits.max_submissions`.
pub const MAX_SUBMISSIONS: Whole = 1..=1_000_000;
/// `limits.max_wait_ms`.
pub const MAX_WAIT_MS: Whole = 0..=10 * MINUTE_MS;

/// `timeouts.heartbeat_ms`.
pub const HEARTBEAT_MS: Whole = 50..=10_000;
/// `timeouts.dead_after_ms`.
pub const DEAD_AFTER_MS: Whole = 100..=MINUTE_MS;
/// `timeouts.fresh_ms`.
pub const FRESH_MS: Whole = 100..=10_000;
/// `timeouts.query_after_ms`.
pub const QUERY_AFTER_MS: Whole = 10..=MINUTE_MS;
/// `timeouts.park_ms`.
pub const PARK_MS: Whole = 0..=MINUTE_MS;
/// `timeouts.run_limit_ms`.
pub const RUN_LIMIT_MS: Whole = 10..=60 * MINUTE_MS;
/// `timeouts.deadline_ms`.
pub const DEADLINE_MS: Whole = 10..=60 * MINUTE_MS;
/// `timeouts.drain_ms`.
pub const DRAIN_MS: Whole = 0..=120 * MINUTE_MS;
/// `timeouts.retain_ms`.
pub const RETAIN_MS: Whole = 1_000..=240 * MINUTE_MS;
/// `timeouts.answer_ms`.
pub const ANSWER_MS: Whole = 1_000..=240 * MINUTE_MS;
/// `timeouts.checkpoint_ms`.
pub const CHECKPOINT_MS: Whole = 100..=60 * MINUTE_MS;

/// `policy.max_queue_wait_ms`.
pub const MAX_QUEUE_WAIT_MS: Whole = 1..=10 * MINUTE_MS;
/// `policy.park_per_runner`.
pub const PARK_PER_RUNNER: Whole = 0..=64;
/// `policy.near_zone_bias`.
pub const NEAR_ZONE_BIAS: Whole = 0..=64;
/// `policy.retry_ratio`.
pub const RETRY_RATIO: Ratio = 0.0..=1.0;
/// `policy.retry_burst`.
pub const RETRY_BURST: Whole = 0..=10_000;
/// `policy.eject_fraction`.
pub const EJECT_FRACTION: Ratio = 0.0..=0.9;
/// `policy.eject_failures`.
pub const EJECT_FAILURES: Whole = 1..=1_000;
/// `policy.eject_ms`.
pub const EJECT_MS: Whole = 100..=10 * MINUTE_MS;
/// `policy.ramp_ms`.
pub const RAMP_MS: Whole = 0..=10 * MINUTE_MS;
/// `policy.age_ms`.
pub const AGE_MS: Whole = 0..=10 * MINUTE_MS;
/// `policy.pass_on_below`.
pub const PASS_ON_BELOW: Ratio = 0.0..=1.0;
