//! Holds every answer that a test received against what the workers really started.

use std::collections;
use std::sync;
use std::thread;
use std::time;

use bulrushtiller::api;
use bulrushtiller::codes;

use crate::rig;

/// Time in which a start that must not come would show, when all is at rest.
const SETTLE: time::Duration = time::Duration::from_millis(300);

/// One submission and all that was ever said of it.
#[derive(Debug)]
pub struct Told {
    submission: api::Submission,
    answers: sync::Mutex<Vec<api::Answer>>,
}

impl Told {
    /// Nothing was said yet. The payloads must be like no other submission's.
    pub fn new(submission: api::Submission) -> Self {
        Self {
            submission,
            answers: sync::Mutex::default(),
        }
    }

    /// A job of tasks that sleep so long, under an id.
    pub fn sleeping(id: Option<bulrushtiller::ids::SubmissionId>, ms: u64, marks: &[&str]) -> Self {
        let payloads: Vec<String> = marks.iter().map(|mark| rig::sleep(ms, mark)).collect();
        Self::new(api::Submission {
            submission: id,
            ..rig::job(&payloads)
        })
    }

    /// Has the caller wait so long for each answer.
    pub fn waiting(mut self, wait_ms: u64) -> Self {
        self.submission.wait_ms = wait_ms;
        self
    }

    /// Sets the deadline.
    pub fn due(mut self, deadline_ms: u64) -> Self {
        self.submission.deadline_ms = Some(deadline_ms);
        self
    }

    /// Says that it may be started again.
    pub fn idempotent(mut self) -> Self {
        self.submission.idempotent = true;
        self
    }

    /// The payload of a task.
    pub fn payload(&self, index: usize) -> &str {
        &self.submission.tasks[index].payload
    }

    /// Submits or repeats it through an entry.
    pub fn submit(&self, rig: &rig::Rig, entry: usize) -> Option<api::Answer> {
        self.hear(rig.submit(entry, &self.submission))
    }

    /// Submits or repeats it at an address.
    pub fn submit_at(&self, address: std::net::SocketAddr) -> Option<api::Answer> {
        self.hear(rig::post(address, "/v1/jobs", rig::TOKEN, &self.submission))
    }

    /// Repeats it through an entry until the answer is the last word.
    pub fn submit_until_final(&self, rig: &rig::Rig, entry: usize) -> api::Answer {
        let until = time::Instant::now() + rig::LIMIT;
        loop {
            if let Some(answer) = self.submit(rig, entry).filter(|answer| answer.is_final) {
                return answer;
            }
            assert!(time::Instant::now() < until, "in vain: a final answer");
            thread::sleep(time::Duration::from_millis(50));
        }
    }

    /// Repeats it until its claim could be made or was found.
    pub fn submit_until_not_unavailable(&self, rig: &rig::Rig, entry: usize) -> api::Answer {
        let until = time::Instant::now() + rig::LIMIT;
        loop {
            let answer = self.submit(rig, entry);
            let is_known = |one: &api::Answer| one.code != codes::Code::ClaimUnavailable;
            if let Some(answer) = answer.filter(is_known) {
                return answer;
            }
            assert!(time::Instant::now() < until, "in vain: a claim");
        }
    }

    /// Takes in what was answered elsewhere.
    pub fn hear(&self, answer: Option<api::Answer>) -> Option<api::Answer> {
        let mut answers = self.answers.lock().expect("no test has panicked");
        answers.extend(answer.clone());
        answer
    }
}

/// Submits all of these at once, each at its entry; the answers in the same order.
pub fn submit_at_once<'a>(
    rig: &rig::Rig,
    calls: impl Iterator<Item = (&'a Told, usize)>,
) -> Vec<Option<api::Answer>> {
    thread::scope(|scope| {
        let calls = calls.map(|(one, entry)| scope.spawn(move || one.submit(rig, entry)));
        let calls: Vec<_> = calls.collect();
        let ended = calls.into_iter().map(|call| call.join().expect("a call"));
        ended.collect()
    })
}

/// Waits until nothing waits or runs, and checks everything that was ever said.
pub fn check(rig: &rig::Rig, told: &[&Told]) {
    rest(rig);
    let mut starts = collections::HashMap::new();
    for (_, start) in rig.starts() {
        *starts.entry(start.payload.to_string()).or_insert(0) += 1;
    }
    for one in told {
        let begun: Vec<usize> = one
            .submission
            .tasks
            .iter()
            .map(|task| starts.get(&task.payload).copied().unwrap_or(0))
            .collect();
        let most = if one.submission.idempotent { 2 } else { 1 };
        assert!(
            begun.iter().all(|count| *count <= most),
            "started more than {most} times: {begun:?} of {one:?}"
        );
        let answers = one.answers.lock().expect("no test has panicked");
        for answer in &*answers {
            check_answer(one, answer, &begun);
        }
    }
}

fn rest(rig: &rig::Rig) {
    let is_at_rest = |process: &bulrushtiller_standins::processes::Process| {
        let status: Option<api::Status> = rig::get(process.address(), "/status", rig::TOKEN);
        status.is_none_or(|status| status.queued == 0 && status.running == 0)
    };
    rig::wait_until("all is at rest", || {
        rig.entries.iter().all(is_at_rest) && rig.runners.iter().all(is_at_rest)
    });
    thread::sleep(SETTLE);
}

fn check_answer(told: &Told, answer: &api::Answer, begun: &[usize]) {
    let is_started = begun.iter().any(|count| *count > 0);
    if answer.is_final && answer.code.class() == codes::Class::NotRun {
        assert!(
            !is_started,
            "not run, and yet started: {answer:?} {begun:?}"
        );
    }
    let is_complete = answer.code == codes::Code::Complete;
    if is_complete {
        assert_eq!(answer.tasks.len(), told.submission.tasks.len(), "partial");
    }
    for ((task, one), count) in answer.tasks.iter().zip(&told.submission.tasks).zip(begun) {
        let is_right = match task.fate {
            api::TaskOutcome::Ran | api::TaskOutcome::Failed => *count > 0,
            api::TaskOutcome::NotRun => *count == 0,
            api::TaskOutcome::MayHaveRun => true,
            api::TaskOutcome::Pending => !answer.is_final,
        };
        assert!(
            is_right,
            "untrue: {task:?} started {count} times, {answer:?}"
        );
        let output = task.output.as_deref();
        if is_complete {
            assert_eq!(task.fate, api::TaskOutcome::Ran);
            let expected = output.is_some_and(|output| one.payload.contains(output));
            assert!(expected, "another task's output: {output:?} to {one:?}");
        } else {
            assert_eq!(output, None, "outputs of what did not complete");
        }
    }
}
