//! Compact form of an answer after its retention period: outcomes without outputs.
//!
//! An ended submission is remembered for minutes so that a repeat never starts it again. At
//! many submissions per second, whole answers would take most of an entry's memory.

use crate::api;
use crate::codes;
use crate::ids;
use crate::jobs;
use crate::jobs::answer;

/// Run-length encoding of consecutive tasks with the same outcome and result code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Repeated {
    outcome: api::TaskOutcome,
    code: codes::Code,
    count: u32,
}

/// Result code and task outcomes of a submission that has ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Summary {
    /// Hash of the content; distinguishes a repeat from another submission with the same id.
    pub fingerprint: u64,
    code: codes::Code,
    elapsed_ms: u64,
    outcomes: Box<[Repeated]>,
}

impl From<&jobs::Ended> for Summary {
    fn from(ended: &jobs::Ended) -> Self {
        let answer = &ended.answer;
        let mut outcomes = Vec::<Repeated>::new();
        for task in &answer.tasks {
            match outcomes.last_mut() {
                Some(row) if (row.outcome, row.code) == (task.fate, task.code) => row.count += 1,
                _ => outcomes.push(Repeated {
                    outcome: task.fate,
                    code: task.code,
                    count: 1,
                }),
            }
        }
        Self {
            fingerprint: ended.fingerprint,
            code: answer.code,
            elapsed_ms: answer.elapsed_ms,
            outcomes: outcomes.into_boxed_slice(),
        }
    }
}

impl Summary {
    /// Returns the final answer without outputs.
    ///
    /// `Complete` would promise outputs that are gone, so it becomes `OutputsExpired`; answers
    /// with any other code never held outputs.
    pub fn answer(&self, id: Option<ids::SubmissionId>) -> api::Answer {
        let code = match self.code {
            codes::Code::Complete => codes::Code::OutputsExpired,
            code => code,
        };
        let tasks = self.outcomes.iter().flat_map(|repeated| {
            let task = api::TaskAnswer {
                fate: repeated.outcome,
                code: repeated.code,
                output: None,
                runner: None,
                zone: None,
                run_ms: 0,
            };
            std::iter::repeat_n(task, repeated.count as usize)
        });
        api::Answer {
            tasks: tasks.collect(),
            elapsed_ms: self.elapsed_ms,
            ..answer::bare(id, code, true)
        }
    }
}
