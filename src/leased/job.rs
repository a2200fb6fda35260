//! A job under leases as its caller hands it in, and the checked form of it.

use std::sync;

use smol_str::SmolStr;

use crate::wire;

/// Most tasks of one job; twice the largest job of the plans.
pub const MAX_TASKS: u32 = 600;

/// Longest text that tells a backend server what to run, in bytes.
pub const MAX_SPEC_BYTES: usize = 4_000;

/// Most steps of one job.
pub const MAX_STEPS: usize = 64;

quick_error! {
    /// Why a job can't be taken.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum JobError {
        /// The id is not one.
        Id {
            display("the id has to be 16 hexadecimal digits")
        }
        /// The text for the backend server is too long.
        Spec {
            display("the text for the backend server has more than {MAX_SPEC_BYTES} bytes")
        }
        /// No task, or more than is taken.
        Size {
            display("a job has 1 to {MAX_STEPS} steps and 1 to {MAX_TASKS} tasks")
        }
        /// A step waits for itself or for one that comes after it.
        Order {
            display("a step can only wait for steps before it")
        }
        /// Something that isn't offered.
        NotOffered(what: &'static str) {
            display("{what} is not offered")
        }
    }
}

/// A job before it is checked.
#[derive(Clone, Debug, Default)]
pub struct RawJob {
    /// The caller's id.
    pub id: SmolStr,
    /// What the backend server is told.
    pub spec: String,
    /// The steps.
    pub steps: Vec<RawStep>,
    /// What it asks for beyond plain tasks, if that is not offered.
    pub not_offered: Option<&'static str>,
}

/// A step before it is checked.
#[derive(Clone, Debug, Default)]
pub struct RawStep {
    /// How many tasks.
    pub tasks: u32,
    /// What each task takes.
    pub need: wire::Resources,
    /// Roughly how long each runs, in milliseconds.
    pub estimate_ms: u64,
    /// Steps that have to be complete first.
    pub after: Vec<u16>,
    /// A label that the backend server has to have.
    pub label: Option<SmolStr>,
    /// The rack near the data.
    pub rack: Option<SmolStr>,
    /// At most so many tasks on one backend server; 0 for any number.
    pub max_per_server: u32,
}

/// A checked step.
#[derive(Clone, Debug)]
pub struct Step {
    /// How many tasks; at least one.
    pub tasks: u32,
    /// What each task takes.
    pub need: wire::Resources,
    /// Roughly how long each runs, in milliseconds; at least one.
    pub estimate_ms: u64,
    /// Earlier steps that have to be complete first.
    pub after: Vec<u16>,
    /// A label that the backend server has to have.
    pub label: Option<SmolStr>,
    /// The rack near the data.
    pub rack: Option<SmolStr>,
    /// At most so many tasks on one backend server.
    pub max_per_server: u32,
}

/// A checked job.
#[derive(Clone, Debug)]
pub struct Job {
    /// The caller's id.
    pub id: SmolStr,
    /// What the backend server is told.
    pub spec: sync::Arc<str>,
    /// The steps; at least one.
    pub steps: Vec<Step>,
}

impl Job {
    /// The longest chain of steps that wait for each other, in milliseconds as declared.
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().map(|&at| ends[usize::from(at)]);
            ends.push(before.max().unwrap_or(0) + step.estimate_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Thousandths of a core times milliseconds that all tasks take as declared.
    pub fn work(&self) -> u64 {
        let of =
            |step: &Step| u64::from(step.tasks) * u64::from(step.need.cpu_milli) * step.estimate_ms;
        self.steps.iter().map(of).sum()
    }
}

impl TryFrom<RawJob> for Job {
    type Error = JobError;

    fn try_from(raw: RawJob) -> Result<Self, JobError> {
        check_id(&raw.id)?;
        if let Some(what) = raw.not_offered {
            return Err(JobError::NotOffered(what));
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

fn check_id(id: &str) -> Result<(), JobError> {
    let is_hex = id.len() == 16 && id.bytes().all(|b| b.is_ascii_hexdigit());
    is_hex.then_some(()).ok_or(JobError::Id)
}

fn check_step((at, raw): (usize, RawStep)) -> Result<Step, JobError> {
    if raw.after.iter().any(|&other| usize::from(other) >= at) {
        return Err(JobError::Order);
    }
    Ok(Step {
        tasks: raw.tasks,
        need: raw.need,
        estimate_ms: raw.estimate_ms.max(1),
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
