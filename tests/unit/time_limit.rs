//! Time limits of calls.

use std::future;
use std::thread;
use std::time;

use bulrushtiller::time_limit;

const LIMIT: time::Duration = time::Duration::from_millis(10);

/// Guards against an answer that is dropped because a resumed process sees its timers fire before
/// it reads its sockets.
#[actix_rt::test]
async fn answer_that_arrived_during_a_suspension_is_read() {
    let call = async {
        thread::sleep(10 * LIMIT);
        for _ in 0..3 {
            tokio::task::yield_now().await;
        }
        "answer"
    };

    let answer = time_limit::within(LIMIT, call).await;

    assert_eq!(answer, Some("answer"));
}

/// Guards against a call that waits for an answer beyond its time limit.
#[actix_rt::test]
async fn call_without_an_answer_ends_at_its_limit() {
    let started = time::Instant::now();

    let answer = time_limit::within(LIMIT, future::pending::<()>()).await;

    assert_eq!(answer, None);
    assert!(started.elapsed() >= LIMIT);
}
