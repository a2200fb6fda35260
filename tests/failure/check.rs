//! Checks all answers that a test received against the starts in the workers' journals.

use std::collections;
use std::sync;
use std::thread;
use std::time;

use bulrushtiller::api;
use bulrushtiller::codes;

use crate::rig;

/// Time to wait for a wrong start after all processes are idle.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(300);

/// Submission with all answers received for it.
#[derive(Debug)]
pub struct TrackedSubmission {
    submission: api::Submission,
    answers: sync::Mutex<Vec<api::Answer>>,
}

impl TrackedSubmission {
    /// Creates a submission without answers. Its payloads must differ from those of all others.
    pub fn new(submission: api::Submission) -> Self {
        Self {
            submission,
            answers: sync::Mutex::default(),
        }
    }

    /// Creates a job of tasks that each sleep `ms` milliseconds.
    pub fn sleeping(
        id: Option<bulrushtiller::ids::SubmissionId>,
        ms: u64,
        labels: &[&str],
    ) -> Self {
        let payloads: Vec<String> = labels
            .iter()
            .map(|label| rig::sleep_payload(ms, label))
            .collect();
        Self::new(api::Submission {
            submission: id,
            ..rig::job(&payloads)
        })
    }

    /// Sets how long the caller waits for each answer.
    pub fn with_wait(mut self, wait_ms: u64) -> Self {
        self.submission.wait_ms = wait_ms;
        self
    }

    /// Sets the deadline.
    pub fn with_deadline(mut self, deadline_ms: u64) -> Self {
        self.submission.deadline_ms = Some(deadline_ms);
        self
    }

    /// Marks the submission as idempotent.
    pub fn idempotent(mut self) -> Self {
        self.submission.idempotent = true;
        self
    }

    /// Returns the payload of a task.
    pub fn payload(&self, index: usize) -> &str {
        &self.submission.tasks[index].payload
    }

    /// Submits or repeats the submission through an entry.
    pub fn submit(&self, rig: &rig::Rig, entry: usize) -> Option<api::Answer> {
        self.record(rig.submit(entry, &self.submission))
    }

    /// Submits or repeats the submission at an address.
    pub fn submit_at(&self, address: std::net::SocketAddr) -> Option<api::Answer> {
        self.record(rig::post(address, "/v1/jobs", rig::TOKEN, &self.submission))
    }

    /// Repeats the submission through an entry until the answer is final.
    pub fn submit_until_final(&self, rig: &rig::Rig, entry: usize) -> api::Answer {
        let deadline = time::Instant::now() + rig::WAIT_LIMIT;
        loop {
            if let Some(answer) = self.submit(rig, entry).filter(|answer| answer.is_final) {
                return answer;
            }
            assert!(
                time::Instant::now() < deadline,
                "timed out waiting for a final answer"
            );
            thread::sleep(time::Duration::from_millis(50));
        }
    }

    /// Repeats the submission until the entry can read or append its claim.
    pub fn submit_until_claimed(&self, rig: &rig::Rig, entry: usize) -> api::Answer {
        let deadline = time::Instant::now() + rig::WAIT_LIMIT;
        loop {
            let answer = self.submit(rig, entry);
            let is_claimed = |one: &api::Answer| one.code != codes::Code::ClaimUnavailable;
            if let Some(answer) = answer.filter(is_claimed) {
                return answer;
            }
            assert!(
                time::Instant::now() < deadline,
                "timed out waiting for a claim"
            );
        }
    }

    /// Records an answer that was received by other means.
    pub fn record(&self, answer: Option<api::Answer>) -> Option<api::Answer> {
        let mut answers = self.answers.lock().expect("no test has panicked");
        answers.extend(answer.clone());
        answer
    }
}

/// Submits all concurrently, each at its entry; returns the answers in the same order.
pub fn submit_concurrently<'a>(
    rig: &rig::Rig,
    calls: impl Iterator<Item = (&'a TrackedSubmission, usize)>,
) -> Vec<Option<api::Answer>> {
    thread::scope(|scope| {
        let calls = calls.map(|(one, entry)| scope.spawn(move || one.submit(rig, entry)));
        let calls: Vec<_> = calls.collect();
        let joined = calls.into_iter().map(|call| call.join().expect("a call"));
        joined.collect()
    })
}

/// Waits until no task is queued or running, then checks all recorded answers.
pub fn check(rig: &rig::Rig, tracked: &[&TrackedSubmission]) {
    wait_until_idle(rig);
    let mut starts = collections::HashMap::new();
    for (_, start) in rig.starts() {
        *starts.entry(start.payload.to_string()).or_insert(0) += 1;
    }
    for one in tracked {
        let start_counts: Vec<usize> = one
            .submission
            .tasks
            .iter()
            .map(|task| starts.get(&task.payload).copied().unwrap_or(0))
            .collect();
        let max_starts = if one.submission.idempotent { 2 } else { 1 };
        assert!(
            start_counts.iter().all(|count| *count <= max_starts),
            "started more than {max_starts} times: {start_counts:?} of {one:?}"
        );
        let answers = one.answers.lock().expect("no test has panicked");
        for answer in &*answers {
            check_answer(one, answer, &start_counts);
        }
    }
}

fn wait_until_idle(rig: &rig::Rig) {
    let is_idle = |process: &bulrushtiller_standins::processes::Process| {
        let status: Option<api::Status> = rig::get(process.address(), "/status", rig::TOKEN);
        status.is_none_or(|status| status.queued == 0 && status.running == 0)
    };
    rig::wait_until("all processes are idle", || {
        rig.entries.iter().all(is_idle) && rig.runners.iter().all(is_idle)
    });
    thread::sleep(SETTLE_TIME);
}

fn check_answer(tracked: &TrackedSubmission, answer: &api::Answer, start_counts: &[usize]) {
    let is_started = start_counts.iter().any(|count| *count > 0);
    if answer.is_final && answer.code.class() == codes::Class::NotRun {
        assert!(
            !is_started,
            "reported as not run but started: {answer:?} {start_counts:?}"
        );
    }
    let is_complete = answer.code == codes::Code::Complete;
    if is_complete {
        assert_eq!(
            answer.tasks.len(),
            tracked.submission.tasks.len(),
            "partial"
        );
    }
    for ((task, one), count) in answer
        .tasks
        .iter()
        .zip(&tracked.submission.tasks)
        .zip(start_counts)
    {
        let is_consistent = match task.fate {
            api::TaskOutcome::Ran | api::TaskOutcome::Failed => *count > 0,
            api::TaskOutcome::NotRun => *count == 0,
            api::TaskOutcome::MayHaveRun => true,
            api::TaskOutcome::Pending => !answer.is_final,
        };
        assert!(
            is_consistent,
            "wrong outcome: {task:?} started {count} times, {answer:?}"
        );
        let output = task.output.as_deref();
        if is_complete {
            assert_eq!(task.fate, api::TaskOutcome::Ran);
            let is_own_output = output.is_some_and(|output| one.payload.contains(output));
            assert!(
                is_own_output,
                "output of another task: {output:?} for {one:?}"
            );
        } else {
            assert_eq!(output, None, "output in an incomplete answer");
        }
    }
}
