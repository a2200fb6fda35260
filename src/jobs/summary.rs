//! What is kept of an answer after its time: enough to tell the truth, no outputs.
//!
//! Load pattern answered: many submissions a second, each remembered for minutes so that a
//! repeat never starts it again. Kept whole, their answers take most of an entry's memory.

use crate::api;
use crate::codes;
use crate::ids;
use crate::jobs;
use crate::jobs::answer;

/// Tasks in a row with the same fate for the same reason.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Run {
    fate: api::TaskOutcome,
    code: codes::Code,
    count: u32,
}

/// The code and the tasks' fates of a submission that is over.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Summary {
    /// Tells a repeat from another submission under the same id.
    pub fingerprint: u64,
    code: codes::Code,
    elapsed_ms: u64,
    fates: Box<[Run]>,
}

impl From<&jobs::Ended> for Summary {
    fn from(ended: &jobs::Ended) -> Self {
        let answer = &ended.answer;
        let mut fates = Vec::<Run>::new();
        for task in &answer.tasks {
            match fates.last_mut() {
                Some(run) if (run.fate, run.code) == (task.fate, task.code) => run.count += 1,
                _ => fates.push(Run {
                    fate: task.fate,
                    code: task.code,
                    count: 1,
                }),
            }
        }
        Self {
            fingerprint: ended.fingerprint,
            code: answer.code,
            elapsed_ms: answer.elapsed_ms,
            fates: fates.into_boxed_slice(),
        }
    }
}

impl Summary {
    /// What to say now. "Complete" would promise outputs that are gone, so it has a code
    /// of its own; all other answers had no outputs.
    pub fn answer(&self, id: Option<ids::SubmissionId>) -> api::Answer {
        let code = match self.code {
            codes::Code::Complete => codes::Code::OutputsExpired,
            code => code,
        };
        let tasks = self.fates.iter().flat_map(|run| {
            let task = api::TaskAnswer {
                fate: run.fate,
                code: run.code,
                output: None,
                runner: None,
                zone: None,
                run_ms: 0,
            };
            std::iter::repeat_n(task, run.count as usize)
        });
        api::Answer {
            tasks: tasks.collect(),
            elapsed_ms: self.elapsed_ms,
            ..answer::bare(id, code, true)
        }
    }
}
