//! A job's answer holds all outputs of that job, or reports a failure.

use std::thread;

use bulrushtiller::api;
use bulrushtiller::codes;

use crate::check;
use crate::rig;

// One task of a job fails while others have ended, run or are queued. The answer reports that
// the job failed and the outcome of each task, and holds no outputs.
#[test]
fn failing_task_fails_the_whole_job() {
    let rig = rig::Rig::start(&rig::Plan::default());
    let mut payloads: Vec<String> = (0..60)
        .map(|at| rig::sleep_payload(100, &format!("ok-{at}")))
        .collect();
    payloads[10] = "{\"sleep_ms\": 150, \"fail\": true, \"output\": \"bad\"}".to_owned();
    let tracked = check::TrackedSubmission::new(rig::job(&payloads));

    let answer = tracked.submit(&rig, 0).expect("an answer");

    assert_eq!(answer.code, codes::Code::TaskFailed);
    assert_eq!(answer.tasks[10].fate, api::TaskOutcome::Failed);
    assert_eq!(answer.tasks.len(), 60);
    check::check(&rig, &[&tracked]);
}

// Many callers submit at once, and the backend servers delay their answers so that these come in
// another order than the calls. Each caller gets the complete answer to its own job.
#[test]
fn delayed_and_reordered_answers_reach_their_callers() {
    let rig = rig::Rig::start(&rig::Plan::default());
    let tracked: Vec<_> = (0..24)
        .map(|job| {
            let payload = |task: usize| {
                let late = (job * 37 + task * 61) % 200;
                format!("{{\"sleep_ms\": 5, \"late_ms\": {late}, \"output\": \"j{job}-t{task}.\"}}")
            };
            check::TrackedSubmission::new(rig::job(&(0..4).map(payload).collect::<Vec<_>>()))
        })
        .collect();

    let calls = tracked.iter().enumerate().map(|(at, one)| (one, at % 2));
    let answers = check::submit_concurrently(&rig, calls);

    for answer in answers {
        assert_eq!(answer.expect("an answer").code, codes::Code::Complete);
    }
    check::check(&rig, &tracked.iter().collect::<Vec<_>>());
}

// Two teams choose the same submission id for different jobs at the same time. Each gets the
// answer to its own job and never that of the other team.
#[test]
fn same_own_id_of_two_teams_gets_separate_answers() {
    let rig = rig::Rig::start(&rig::Plan::default());
    let id = rig::own_id("inscricao-1");
    let job = |label: &str| api::Submission {
        submission: Some(id.clone()),
        ..rig::job(&[rig::sleep_payload(50, label)])
    };
    let tracked = [
        check::TrackedSubmission::new(job("first-school")),
        check::TrackedSubmission::new(job("second-school")),
    ];
    let second = job("second-school");
    let address = rig.entries[1].address();

    let (ours, theirs) = thread::scope(|scope| {
        let theirs = scope.spawn(|| rig::post(address, "/v1/jobs", rig::OTHER_TOKEN, &second));
        (
            tracked[0].submit(&rig, 0),
            tracked[1].record(theirs.join().expect("a call")),
        )
    });

    assert_eq!(
        ours.expect("an answer").tasks[0].output.as_deref(),
        Some("first-school")
    );
    assert_eq!(
        theirs.expect("an answer").tasks[0].output.as_deref(),
        Some("second-school")
    );
    check::check(&rig, &[&tracked[0], &tracked[1]]);
}
