//! Non-idempotent tasks start at most once; idempotent tasks are retried on another backend server.

use bulrushtiller::codes;
use rstest::rstest;

use crate::check;
use crate::rig;

// A runner dies while it runs a request. If the request is not idempotent, it is not started
// again, and the answer says that it may have run. If it is idempotent, it is started once more
// on another backend server, and its caller gets the output.
#[rstest]
#[case::at_most_once(false, codes::Code::RunnerLost, 1)]
#[case::retried(true, codes::Code::Complete, 2)]
fn only_idempotent_request_is_restarted_after_runner_loss(
    #[case] is_idempotent: bool,
    #[case] code: codes::Code,
    #[case] starts: usize,
) {
    let mut rig = rig::Rig::start(&rig::Plan::default());
    let tracked =
        check::TrackedSubmission::sleeping(Some(rig.ticket(0)), 1_000, &["request"]).with_wait(0);
    let tracked = if is_idempotent {
        tracked.idempotent()
    } else {
        tracked
    };
    tracked.submit(&rig, 0).expect("an answer");
    rig::wait_until("the task runs", || rig.starts_of(tracked.payload(0)) == 1);
    let (at, _) = rig.starts().remove(0);

    rig.runners[at].kill().expect("SIGKILL is sent");
    rig.runners.remove(at);
    let answer = tracked.submit_until_final(&rig, 1);

    assert_eq!(answer.code, code);
    assert_eq!(rig.starts_of(tracked.payload(0)), starts);
    let workers: std::collections::BTreeSet<_> =
        rig.starts().into_iter().map(|(at, _)| at).collect();
    assert_eq!(
        workers.len(),
        starts,
        "each start is on another backend server"
    );
    check::check(&rig, &[&tracked]);
}

// A runner dies while it runs more idempotent tasks than the retry budget allows. Only as many
// as the budget allows are started again; the other tasks and their jobs fail as lost.
#[test]
fn retries_stay_within_budget() {
    let mut rig = rig::Rig::start(&rig::Plan {
        settings: "[policy]\nretry_burst = 2\nretry_ratio = 0.0\n".to_owned(),
        runners: vec!["caxias"],
        ..rig::Plan::default()
    });
    let tracked: Vec<_> = (0..6)
        .map(|at| {
            let tracked = check::TrackedSubmission::sleeping(
                Some(rig.ticket(0)),
                1_500,
                &[&format!("lookup-{at}")],
            );
            tracked.with_wait(0).idempotent()
        })
        .collect();
    for one in &tracked {
        one.submit(&rig, 0).expect("an answer");
    }
    rig::wait_until("all tasks run", || rig.starts().len() == 6);

    rig.runners[0].kill().expect("SIGKILL is sent");
    rig.runners.clear();
    rig.add_runner("runner-1", "bento", &[]);
    let answers: Vec<_> = tracked
        .iter()
        .map(|one| one.submit_until_final(&rig, 0).code)
        .collect();

    let count = |code| answers.iter().filter(|one| **one == code).count();
    assert_eq!(count(codes::Code::Complete), 2, "{answers:?}");
    assert_eq!(count(codes::Code::RunnerLost), 4, "{answers:?}");
    check::check(&rig, &tracked.iter().collect::<Vec<_>>());
}
