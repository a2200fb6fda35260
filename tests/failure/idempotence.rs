//! Non-idempotent work runs at most once; idempotent work is retried elsewhere.

use bulrushtiller::codes;
use rstest::rstest;

use crate::check;
use crate::rig;

// A runner dies while it runs a request. A non-idempotent one is not started again, and its
// caller is told that it may have run. An idempotent one is started once more, on another
// backend server, and its caller gets the answer.
#[rstest]
#[case::enrolment(false, codes::Code::RunnerLost, 1)]
#[case::lookup(true, codes::Code::Complete, 2)]
fn runner_killed_under_a_request(
    #[case] is_idempotent: bool,
    #[case] code: codes::Code,
    #[case] starts: usize,
) {
    let mut rig = rig::Rig::start(&rig::Plan::default());
    let told = check::Told::sleeping(Some(rig.ticket(0)), 1_000, &["request"]).waiting(0);
    let told = if is_idempotent {
        told.idempotent()
    } else {
        told
    };
    told.submit(&rig, 0).expect("an answer");
    rig::wait_until("it runs", || rig.starts_of(told.payload(0)) == 1);
    let (at, _) = rig.starts().remove(0);

    rig.runners[at].kill().expect("it is killed");
    rig.runners.remove(at);
    let answer = told.submit_until_final(&rig, 1);

    assert_eq!(answer.code, code);
    assert_eq!(rig.starts_of(told.payload(0)), starts);
    let workers: std::collections::BTreeSet<_> =
        rig.starts().into_iter().map(|(at, _)| at).collect();
    assert_eq!(workers.len(), starts, "on another backend server");
    check::check(&rig, &[&told]);
}

// A runner dies with more idempotent tasks on it than the retry budget allows. The budget
// bounds the second starts; the rest fails as lost, and the job with it.
#[test]
fn retries_stay_within_the_budget() {
    let mut rig = rig::Rig::start(&rig::Plan {
        settings: "[policy]\nretry_burst = 2\nretry_ratio = 0.0\n".to_owned(),
        runners: vec!["caxias"],
        ..rig::Plan::default()
    });
    let told: Vec<_> = (0..6)
        .map(|at| {
            let told =
                check::Told::sleeping(Some(rig.ticket(0)), 1_500, &[&format!("lookup-{at}")]);
            told.waiting(0).idempotent()
        })
        .collect();
    for one in &told {
        one.submit(&rig, 0).expect("an answer");
    }
    rig::wait_until("all run", || rig.starts().len() == 6);

    rig.runners[0].kill().expect("it is killed");
    rig.runners.clear();
    rig.add_runner("runner-1", "bento", &[]);
    let answers: Vec<_> = told
        .iter()
        .map(|one| one.submit_until_final(&rig, 0).code)
        .collect();

    let count = |code| answers.iter().filter(|one| **one == code).count();
    assert_eq!(count(codes::Code::Complete), 2, "{answers:?}");
    assert_eq!(count(codes::Code::RunnerLost), 4, "{answers:?}");
    check::check(&rig, &told.iter().collect::<Vec<_>>());
}
