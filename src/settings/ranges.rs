//! The valid range of each key; `docs/SETTINGS.md` gives the reasons.

use std::ops;

/// Range of an integer.
pub type IntegerRange = ops::RangeInclusive<u32>;
/// Range of a ratio.
pub type RatioRange = ops::RangeInclusive<f64>;

const MINUTE_MS: u32 = 60_000;

/// Maximum size of a file, in bytes.
pub const MAX_FILE_BYTES: usize = 64 << 10;
/// Maximum size of a folder, in bytes of its file names and texts as JSON strings.
///
/// JSON length is used because a checkpoint, which also holds [`MAX_RECENT`] ids, must
/// fit in one log record (1 MiB).
pub const MAX_FOLDER_BYTES: usize = 512 << 10;
/// Maximum number of files in a folder.
pub const MAX_FILES: usize = 256;
/// Maximum length of a file name, in bytes.
pub const MAX_FILE_NAME_BYTES: usize = 64;
/// Maximum number of recent changes whose ids are kept to detect repeats.
pub const MAX_RECENT: usize = 1024;
/// Maximum length of a change's author, in bytes.
pub const MAX_AUTHOR_BYTES: usize = 128;

/// Number of hexadecimal digits of a token's SHA-256 hash.
pub const TOKEN_HASH_DIGITS: usize = 64;
/// Maximum number of tokens of a team.
pub const MAX_TOKENS: usize = 64;

/// `teams.NAME.weight`.
pub const TEAM_WEIGHT: IntegerRange = 1..=1_000;
/// `teams.NAME.max_running`.
pub const TEAM_MAX_RUNNING: IntegerRange = 1..=1_000_000;
/// `teams.NAME.max_queued`.
pub const TEAM_MAX_QUEUED: IntegerRange = 1..=1_000_000;

/// `limits.max_job_tasks`.
pub const MAX_JOB_TASKS: IntegerRange = 1..=10_000;
/// `limits.max_body_bytes`.
pub const MAX_BODY_BYTES: IntegerRange = 1_024..=64 << 20;
/// `limits.max_payload_bytes`.
pub const MAX_PAYLOAD_BYTES: IntegerRange = 1..=1 << 20;
/// `limits.max_queued`.
pub const MAX_QUEUED: IntegerRange = 1..=1_000_000;
/// `limits.max_submissions`.
pub const MAX_SUBMISSIONS: IntegerRange = 1..=1_000_000;
/// `limits.max_wait_ms`.
pub const MAX_WAIT_MS: IntegerRange = 0..=10 * MINUTE_MS;

/// `timeouts.heartbeat_ms`.
pub const HEARTBEAT_MS: IntegerRange = 50..=10_000;
/// `timeouts.dead_after_ms`.
pub const DEAD_AFTER_MS: IntegerRange = 100..=MINUTE_MS;
/// `timeouts.fresh_ms`.
pub const FRESH_MS: IntegerRange = 100..=10_000;
/// `timeouts.query_after_ms`.
pub const QUERY_AFTER_MS: IntegerRange = 10..=MINUTE_MS;
/// `timeouts.park_ms`.
pub const PARK_MS: IntegerRange = 0..=MINUTE_MS;
/// `timeouts.run_limit_ms`.
pub const RUN_LIMIT_MS: IntegerRange = 10..=60 * MINUTE_MS;
/// `timeouts.deadline_ms`.
pub const DEADLINE_MS: IntegerRange = 10..=60 * MINUTE_MS;
/// `timeouts.drain_ms`.
pub const DRAIN_MS: IntegerRange = 0..=120 * MINUTE_MS;
/// `timeouts.retain_ms`.
pub const RETAIN_MS: IntegerRange = 1_000..=240 * MINUTE_MS;
/// `timeouts.answer_ms`.
pub const ANSWER_MS: IntegerRange = 1_000..=240 * MINUTE_MS;
/// `timeouts.checkpoint_ms`.
pub const CHECKPOINT_MS: IntegerRange = 100..=60 * MINUTE_MS;

/// `policy.max_queue_wait_ms`.
pub const MAX_QUEUE_WAIT_MS: IntegerRange = 1..=10 * MINUTE_MS;
/// `policy.park_per_runner`.
pub const PARK_PER_RUNNER: IntegerRange = 0..=64;
/// `policy.near_zone_bias`.
pub const NEAR_ZONE_BIAS: IntegerRange = 0..=64;
/// `policy.retry_ratio`.
pub const RETRY_RATIO: RatioRange = 0.0..=1.0;
/// `policy.retry_burst`.
pub const RETRY_BURST: IntegerRange = 0..=10_000;
/// `policy.eject_fraction`.
pub const EJECT_FRACTION: RatioRange = 0.0..=0.9;
/// `policy.eject_failures`.
pub const EJECT_FAILURES: IntegerRange = 1..=1_000;
/// `policy.eject_ms`.
pub const EJECT_MS: IntegerRange = 100..=10 * MINUTE_MS;
/// `policy.ramp_ms`.
pub const RAMP_MS: IntegerRange = 0..=10 * MINUTE_MS;
/// `policy.age_ms`.
pub const AGE_MS: IntegerRange = 0..=10 * MINUTE_MS;
/// `policy.pass_on_below`.
pub const PASS_ON_BELOW: RatioRange = 0.0..=1.0;
