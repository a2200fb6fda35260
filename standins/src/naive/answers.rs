//! The submissions and their answers, kept for as long as the process lives.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use serde::Serialize;
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::lock;

/// The number of a complete answer, of one in which a task failed, and of none yet.
const COMPLETE: u16 = 0;
const PENDING: u16 = 1;
const TASK_FAILED: u16 = 200;

/// What became of one task.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct TaskAnswer {
    /// `ran` or `failed`.
    pub fate: &'static str,
    /// The numbered result.
    pub code: u16,
    /// What the worker put out.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub output: Option<String>,
    /// Milliseconds it ran for.
    pub run_ms: u64,
}

impl TaskAnswer {
    /// It did its work.
    pub(super) const fn ran(output: String, run_ms: u64) -> Self {
        Self {
            fate: "ran",
            code: COMPLETE,
            output: Some(output),
            run_ms,
        }
    }

    /// It failed, or its worker did not answer.
    pub(super) const fn failed(run_ms: u64) -> Self {
        Self {
            fate: "failed",
            code: TASK_FAILED,
            output: None,
            run_ms,
        }
    }
}

/// An answer in the form of an entry's.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Answer {
    /// Whose it is.
    pub submission: SmolStr,
    /// The numbered result.
    pub code: u16,
    /// The same in words.
    pub text: &'static str,
    /// Whether this is the last word.
    #[serde(rename = "final")]
    pub is_final: bool,
    /// One for each task, in order.
    pub tasks: Vec<TaskAnswer>,
}

impl Answer {
    fn new(submission: &str, tasks: Option<Vec<TaskAnswer>>) -> Self {
        let is_final = tasks.is_some();
        let tasks = tasks.unwrap_or_default();
        let all_ran = tasks.iter().all(|task| task.code == COMPLETE);
        let (code, text) = match (is_final, all_ran) {
            (false, _) => (PENDING, "accepted and not finished yet; ask again"),
            (true, true) => (COMPLETE, "complete"),
            (true, false) => (TASK_FAILED, "a task ran and failed"),
        };
        Self {
            submission: SmolStr::new(submission),
            code,
            text,
            is_final,
            tasks,
        }
    }
}

/// The tasks' answers, once all are there.
type Ended = Option<Vec<TaskAnswer>>;

/// Where the answer of a new submission is put.
#[derive(Debug)]
pub(super) struct End(watch::Sender<Ended>);

impl End {
    /// Gives the answer to all who wait for it.
    pub(super) fn set(self, tasks: Vec<TaskAnswer>) {
        self.0.send_replace(Some(tasks));
    }
}

/// All submissions by id.
#[derive(Debug, Default)]
pub(super) struct Answers {
    by_id: sync::Mutex<collections::HashMap<SmolStr, watch::Receiver<Ended>>>,
    tickets: atomic::AtomicU64,
}

impl Answers {
    /// A ticket in the form of an entry's.
    pub(super) fn ticket(&self) -> String {
        let number = self.tickets.fetch_add(1, atomic::Ordering::Relaxed);
        format!("t:naive:1:1:{number:x}")
    }

    /// Opens a submission; none if it is known already.
    pub(super) fn open(&self, id: &str) -> Option<End> {
        let mut by_id = lock(&self.by_id);
        if by_id.contains_key(id) {
            return None;
        }
        let (tx, rx) = watch::channel(None);
        by_id.insert(SmolStr::new(id), rx);
        Some(End(tx))
    }

    /// The final answer, or after `wait` that there is none yet; none: an unknown id.
    pub(super) async fn wait(&self, id: &str, wait: time::Duration) -> Option<Answer> {
        let mut rx = lock(&self.by_id).get(id).cloned()?;
        let ended = rx.wait_for(Option::is_some);
        let ended = tokio::time::timeout(wait, ended).await;
        let tasks = ended.ok().and_then(Result::ok);
        Some(Answer::new(id, tasks.and_then(|tasks| tasks.clone())))
    }
}
