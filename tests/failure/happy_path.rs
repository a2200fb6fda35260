//! Basic behaviour without failures, which the other tests rely on.

use bulrushtiller::api;
use bulrushtiller::codes;

use crate::rig;

#[test]
fn job_completes_and_each_task_starts_once() {
    let rig = rig::Rig::start(&rig::Plan::default());
    let payloads: Vec<String> = (0..10)
        .map(|at| rig::sleep_payload(50, &format!("task-{at}")))
        .collect();

    let answer = rig.submit(0, &rig::job(&payloads)).expect("an answer");

    assert_eq!(answer.code, codes::Code::Complete);
    let outputs: Vec<_> = answer
        .tasks
        .iter()
        .map(|task| task.output.clone())
        .collect();
    let expected: Vec<_> = (0..10).map(|at| Some(format!("task-{at}"))).collect();
    assert_eq!(outputs, expected);
    for payload in &payloads {
        assert_eq!(rig.starts_of(payload), 1);
    }
}

#[test]
fn answer_is_fetched_through_another_entry() {
    let rig = rig::Rig::start(&rig::Plan::default());
    let submission = api::Submission {
        wait_ms: 0,
        ..rig::job(&[rig::sleep_payload(100, "late")])
    };

    let accepted = rig.submit(0, &submission).expect("an answer");
    let id = accepted.submission.expect("an id");
    let answer = rig.fetch(1, &id, 10_000).expect("an answer");

    assert_eq!(accepted.code, codes::Code::Pending);
    assert_eq!(answer.code, codes::Code::Complete);
    assert_eq!(answer.tasks[0].output.as_deref(), Some("late"));
}

#[test]
fn answer_is_not_given_to_another_team() {
    let rig = rig::Rig::start(&rig::Plan::default());

    let answer = rig
        .submit(0, &rig::job(&[rig::sleep_payload(10, "secret")]))
        .expect("an answer");
    let id = answer.submission.expect("an id");
    let path = format!("/v1/submissions/{id}");
    let other: Option<api::Answer> = rig::get(rig.entries[1].address(), &path, rig::OTHER_TOKEN);

    assert_eq!(
        other.expect("an answer").code,
        codes::Code::UnknownSubmission
    );
}

#[test]
fn ticket_is_accepted_by_any_entry_and_starts_once() {
    let rig = rig::Rig::start(&rig::Plan::default());
    let payload = rig::sleep_payload(100, "ticketed");
    let submission = api::Submission {
        submission: Some(rig.ticket(0)),
        ..rig::job(std::slice::from_ref(&payload))
    };

    let first = rig.submit(1, &submission).expect("an answer");
    let again = rig.submit(0, &submission).expect("an answer");

    assert_eq!(first.code, codes::Code::Complete);
    assert_eq!(first, again);
    assert_eq!(rig.starts_of(&payload), 1);
}

#[test]
fn zone_taken_out_starts_no_task() {
    let rig = rig::Rig::start(&rig::Plan::default());
    let payloads: Vec<String> = (0..20)
        .map(|at| rig::sleep_payload(20, &format!("task-{at}")))
        .collect();

    rig.set_zone_out("caxias", true);
    rig.wait_until_serving(3);
    rig.control_log(&serde_json::json!({"mode": "down"}));
    let answer = rig.submit(0, &rig::job(&payloads)).expect("an answer");

    assert_eq!(answer.code, codes::Code::Complete);
    let zones: Vec<_> = answer
        .tasks
        .iter()
        .map(|task| task.zone.as_deref())
        .collect();
    assert_eq!(zones, vec![Some("bento"); 20]);
}
