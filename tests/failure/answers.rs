//! A job's answer is whole and its own, or failed.

use std::thread;

use bulrushtiller::api;
use bulrushtiller::codes;

use crate::check;
use crate::rig;

// One task of a job fails while others have run, run, or wait. The caller is told that the
// job failed and what became of each task, and gets no output of any.
#[test]
fn failing_task_fails_the_whole_job() {
    let rig = rig::Rig::start(&rig::Plan::default());
    let mut payloads: Vec<String> = (0..60)
        .map(|at| rig::sleep(100, &format!("ok-{at}")))
        .collect();
    payloads[10] = "{\"sleep_ms\": 150, \"fail\": true, \"output\": \"bad\"}".to_owned();
    let told = check::Told::new(rig::job(&payloads));

    let answer = told.submit(&rig, 0).expect("an answer");

    assert_eq!(answer.code, codes::Code::TaskFailed);
    assert_eq!(answer.tasks[10].fate, api::TaskOutcome::Failed);
    assert_eq!(answer.tasks.len(), 60);
    check::check(&rig, &[&told]);
}

// Many callers call at once and the backend servers hold answers back, so that they come in
// another order than the calls went out. Each caller gets all of its own answer.
#[test]
fn late_and_crossed_answers_reach_their_own_callers() {
    let rig = rig::Rig::start(&rig::Plan::default());
    let told: Vec<_> = (0..24)
        .map(|job| {
            let payload = |task: usize| {
                let late = (job * 37 + task * 61) % 200;
                format!("{{\"sleep_ms\": 5, \"late_ms\": {late}, \"output\": \"j{job}-t{task}.\"}}")
            };
            check::Told::new(rig::job(&(0..4).map(payload).collect::<Vec<_>>()))
        })
        .collect();

    let calls = told.iter().enumerate().map(|(at, one)| (one, at % 2));
    let answers = check::submit_at_once(&rig, calls);

    for answer in answers {
        assert_eq!(answer.expect("an answer").code, codes::Code::Complete);
    }
    check::check(&rig, &told.iter().collect::<Vec<_>>());
}

// Two schools happen to choose the same submission id for different work, at once. Each
// gets its own answer, and neither ever sees the other's.
#[test]
fn two_teams_with_the_same_own_id() {
    let rig = rig::Rig::start(&rig::Plan::default());
    let id = rig::own_id("inscricao-1");
    let job = |mark: &str| api::Submission {
        submission: Some(id.clone()),
        ..rig::job(&[rig::sleep(50, mark)])
    };
    let told = [
        check::Told::new(job("first-school")),
        check::Told::new(job("second-school")),
    ];
    let second = job("second-school");
    let address = rig.entries[1].address();

    let (ours, theirs) = thread::scope(|scope| {
        let theirs = scope.spawn(|| rig::post(address, "/v1/jobs", rig::OTHER_TOKEN, &second));
        (
            told[0].submit(&rig, 0),
            told[1].hear(theirs.join().expect("a call")),
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
    check::check(&rig, &[&told[0], &told[1]]);
}
