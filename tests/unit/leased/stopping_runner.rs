//! Watches at a runner that is stopping.

use std::sync;
use std::time;

use actix::Actor as _;
use bulrushtiller::clock;
use bulrushtiller::control;
use bulrushtiller::leased::dispatch;
use bulrushtiller::leased::messages;
use bulrushtiller::leased::ports;
use bulrushtiller::leased::runner;
use bulrushtiller::leased::traffic;

use super::fixtures;

/// Backend server that never answers.
#[derive(Debug)]
struct Unreachable;

impl ports::Backend for Unreachable {
    fn start(&self, _: ports::StartCall, _: actix::Recipient<ports::StartAnswered>) {}

    fn stop(&self, _: ports::StopCall, _: actix::Recipient<ports::StopAnswered>) {}

    fn poll_listings(&self, _: actix::Recipient<ports::ListAnswered>) {}
}

fn runner() -> actix::Addr<runner::Control> {
    let parts = runner::Parts {
        me: fixtures::RUNNER,
        fence: 1,
        clock: clock::Clock::start(),
        backend: Box::new(Unreachable),
        traffic: sync::Arc::new(traffic::Traffic::default()),
        grace: time::Duration::from_secs(6),
    };
    runner::Control::new(parts).start()
}

/// Returns how long a runner takes to answer an idle watch.
async fn answer_time(runner: &actix::Addr<runner::Control>) -> time::Duration {
    let watch = messages::Watch {
        wait_ms: dispatch::IDLE_WATCH_WAIT_MS,
        ..fixtures::watch(fixtures::ENTRY, 0, 0, &[])
    };
    let sent = time::Instant::now();
    let received = runner.send(runner::WatchReceived(watch)).await;
    received.expect("a running actor").await.expect("a report");
    sent.elapsed()
}

/// Guards against the exit of a runner that waits for the watches which entries open meanwhile.
#[actix_rt::test]
async fn idle_stopping_runner_holds_no_watch_open() {
    let runner = runner();
    answer_time(&runner).await;
    let before = answer_time(&runner).await;

    runner.send(control::Leave).await.expect("a running actor");
    answer_time(&runner).await;
    let after = answer_time(&runner).await;

    let wait = time::Duration::from_millis(dispatch::IDLE_WATCH_WAIT_MS);
    assert!(before >= wait, "{before:?}");
    assert!(after < wait / 2, "{after:?}");
}
