//! Jobs under leases, as submitted and after validation.

use std::sync;

use smol_str::SmolStr;

use crate::wire;

/// Maximum number of tasks of a job: twice the largest job that is planned for.
pub const MAX_TASKS: u32 = 600;

/// Maximum length of the text that tells a backend server what to run, in bytes.
pub const MAX_SPEC_BYTES: usize = 4_000;

/// Longest time that a job may declare or its caller wait, in milliseconds: 30 days. A longer one
/// counts as this.
pub const MAX_TIME_MS: u64 = 30 * 24 * 3_600 * 1_000;

/// Maximum number of steps of a job.
pub const MAX_STEPS: usize = 64;

quick_error! {
    /// Reason for which a job is invalid.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum JobError {
        /// Malformed job id.
        Id {
            display("invalid job id: expected 16 hexadecimal digits")
        }
        /// The text for the backend server is too long.
        Spec {
            display("the text for the backend server is longer than {MAX_SPEC_BYTES} bytes")
        }
        /// Too few or too many steps or tasks.
        Size {
            display("a job needs 1 to {MAX_STEPS} steps, 1 to {MAX_TASKS} tasks and no empty step")
        }
        /// A step depends on itself or on a later step.
        Order {
            display("a step may only depend on earlier steps")
        }
        /// Unsupported feature.
        Unsupported(what: &'static str) {
            display("{what} is not supported")
        }
    }
}

/// Job before validation.
#[derive(Clone, Debug, Default)]
pub struct RawJob {
    /// Id chosen by the caller.
    pub id: SmolStr,
    /// Text that tells the backend server what to run.
    pub spec: String,
    /// Steps of the job.
    pub steps: Vec<RawStep>,
    /// Unsupported feature that the job requests, if any.
    pub unsupported: Option<&'static str>,
}

/// Step before validation.
#[derive(Clone, Debug, Default)]
pub struct RawStep {
    /// Number of tasks.
    pub tasks: u32,
    /// Resources of each task.
    pub need: wire::Resources,
    /// Approximate run time of each task, in milliseconds.
    pub estimate_ms: u64,
    /// Indices of the steps that have to complete first.
    pub after: Vec<u16>,
    /// Label that the backend server must have.
    pub label: Option<SmolStr>,
    /// Rack close to the data.
    pub rack: Option<SmolStr>,
    /// Maximum number of tasks on one backend server; 0 for no limit.
    pub max_per_server: u32,
}

/// Validated step.
#[derive(Clone, Debug)]
pub struct Step {
    /// Number of tasks; at least 1.
    pub tasks: u32,
    /// Resources of each task.
    pub need: wire::Resources,
    /// Approximate run time of each task, in milliseconds; 1 to [`MAX_TIME_MS`].
    pub estimate_ms: u64,
    /// Indices of the earlier steps that have to complete first.
    pub after: Vec<u16>,
    /// Label that the backend server must have.
    pub label: Option<SmolStr>,
    /// Rack close to the data.
    pub rack: Option<SmolStr>,
    /// Maximum number of tasks on one backend server.
    pub max_per_server: u32,
}

/// Validated job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id chosen by the caller.
    pub id: SmolStr,
    /// Text that tells the backend server what to run.
    pub spec: sync::Arc<str>,
    /// Steps of the job; at least one.
    pub steps: Vec<Step>,
}

impl Job {
    /// Returns the declared run time of the longest chain of dependent steps, in milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().map(|&index| ends[usize::from(index)]);
            ends.push(before.max().unwrap_or(0) + step.estimate_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Returns the declared work of all tasks, in thousandths of a core times milliseconds; a sum that
    /// is too large counts as the largest.
    pub fn work(&self) -> u64 {
        let step_work = |step: &Step| {
            let cpu_milli = u64::from(step.tasks) * u64::from(step.need.cpu_milli);
            cpu_milli.saturating_mul(step.estimate_ms)
        };
        let works = self.steps.iter().map(step_work);
        works.fold(0, u64::saturating_add)
    }
}

impl TryFrom<RawJob> for Job {
    type Error = JobError;

    fn try_from(raw: RawJob) -> Result<Self, JobError> {
        check_id(&raw.id)?;
        if let Some(what) = raw.unsupported {
            return Err(JobError::Unsupported(what));
        }
        if raw.spec.len() > MAX_SPEC_BYTES {
            return Err(JobError::Spec);
        }
        let tasks = raw
            .steps
            .iter()
            .fold(0, |sum: u32, step| sum.saturating_add(step.tasks));
        let has_empty = raw.steps.iter().any(|step| step.tasks == 0);
        if raw.steps.len() > MAX_STEPS || has_empty || !(1..=MAX_TASKS).contains(&tasks) {
            return Err(JobError::Size);
        }
        let steps: Result<_, _> = raw.steps.into_iter().enumerate().map(check_step).collect();
        Ok(Self {
            id: raw.id,
            spec: raw.spec.into(),
            steps: steps?,
        })
    }
}

/// Returns whether the text is the id of a job.
pub fn is_id(text: &str) -> bool {
    text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit())
}

fn check_id(id: &str) -> Result<(), JobError> {
    is_id(id).then_some(()).ok_or(JobError::Id)
}

fn check_step((index, raw): (usize, RawStep)) -> Result<Step, JobError> {
    if raw.after.iter().any(|&other| usize::from(other) >= index) {
        return Err(JobError::Order);
    }
    Ok(Step {
        tasks: raw.tasks,
        need: raw.need,
        estimate_ms: raw.estimate_ms.clamp(1, MAX_TIME_MS),
        after: raw.after,
        label: raw.label,
        rack: raw.rack,
        max_per_server: if raw.max_per_server == 0 {
            u32::MAX
        } else {
            raw.max_per_server
        },
    })
}
