//! Submissions and their answers, which are kept until the process exits.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

use serde::Serialize;
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::lock;

/// Result codes: all tasks ran, not finished yet, a task failed.
const COMPLETE: u16 = 0;
const PENDING: u16 = 1;
const TASK_FAILED: u16 = 200;

/// Answer for one task.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct TaskAnswer {
    /// Outcome: `ran` or `failed`.
    pub fate: &'static str,
    /// Result code.
    pub code: u16,
    /// Output of the task.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub output: Option<String>,
    /// Run time, in milliseconds.
    pub run_ms: u64,
}

impl TaskAnswer {
    /// Creates the answer for a task that completed.
    pub(super) const fn ran(output: String, run_ms: u64) -> Self {
        Self {
            fate: "ran",
            code: COMPLETE,
            output: Some(output),
            run_ms,
        }
    }

    /// Creates the answer for a task that failed or whose worker did not answer.
    pub(super) const fn failed(run_ms: u64) -> Self {
        Self {
            fate: "failed",
            code: TASK_FAILED,
            output: None,
            run_ms,
        }
    }
}

/// Answer for a submission, in the format of an entry's answer.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Answer {
    /// Id of the submission.
    pub submission: SmolStr,
    /// Result code.
    pub code: u16,
    /// Text of the result code.
    pub text: &'static str,
    /// Whether the answer is final.
    #[serde(rename = "final")]
    pub is_final: bool,
    /// Answers for the tasks, in order.
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

/// Answers for all tasks; `None` until the last task has ended.
type TaskAnswers = Option<Vec<TaskAnswer>>;

/// Sender of the answer for a new submission.
#[derive(Debug)]
pub(super) struct AnswerSender(watch::Sender<TaskAnswers>);

impl AnswerSender {
    /// Sends the answer to all waiting calls.
    pub(super) fn set(self, tasks: Vec<TaskAnswer>) {
        self.0.send_replace(Some(tasks));
    }
}

/// Answers by id of the submission.
#[derive(Debug, Default)]
pub(super) struct Answers {
    by_id: sync::Mutex<collections::HashMap<SmolStr, watch::Receiver<TaskAnswers>>>,
    tickets: atomic::AtomicU64,
}

impl Answers {
    /// Creates a ticket in the format of an entry's ticket.
    pub(super) fn ticket(&self) -> String {
        let number = self.tickets.fetch_add(1, atomic::Ordering::Relaxed);
        format!("t:naive:1:1:{number:x}")
    }

    /// Registers a submission; returns `None` if the id is known.
    pub(super) fn register(&self, id: &str) -> Option<AnswerSender> {
        let mut by_id = lock(&self.by_id);
        if by_id.contains_key(id) {
            return None;
        }
        let (tx, rx) = watch::channel(None);
        by_id.insert(SmolStr::new(id), rx);
        Some(AnswerSender(tx))
    }

    /// Waits at most `wait` for the final answer, else returns a provisional one.
    ///
    /// Returns `None` if the id is unknown.
    pub(super) async fn wait(&self, id: &str, wait: time::Duration) -> Option<Answer> {
        let mut rx = lock(&self.by_id).get(id).cloned()?;
        let result = rx.wait_for(Option::is_some);
        let result = tokio::time::timeout(wait, result).await;
        let tasks = result.ok().and_then(Result::ok);
        Some(Answer::new(id, tasks.and_then(|tasks| tasks.clone())))
    }
}
