//! The control thread of a runner that was suspended.

use std::sync;
use std::thread;
use std::time;

use actix::Actor as _;
use bulrushtiller::clock;
use bulrushtiller::leased::messages;
use bulrushtiller::leased::ports;
use bulrushtiller::leased::runner;
use bulrushtiller::leased::traffic;

use super::fixtures;

/// Duration of a suspension, longer than the silence after which a backend server counts as
/// unreachable.
const PAUSE: time::Duration = time::Duration::from_millis(600);

/// Backend server whose answers come from the test.
#[derive(Debug)]
struct Unpolled;

impl ports::Backend for Unpolled {
    fn start(&self, _: ports::StartCall, _: actix::Recipient<ports::StartAnswered>) {}

    fn stop(&self, _: ports::StopCall, _: actix::Recipient<ports::StopAnswered>) {}

    fn poll_listings(&self, _: actix::Recipient<ports::ListAnswered>) {}
}

/// Returns a runner that has received a heartbeat and a listing.
async fn ready_runner() -> actix::Addr<runner::Control> {
    let parts = runner::Parts {
        me: fixtures::RUNNER,
        fence: 1,
        clock: clock::Clock::start(),
        backend: Box::new(Unpolled),
        traffic: sync::Arc::new(traffic::Traffic::default()),
        grace: time::Duration::from_secs(6),
    };
    let runner = runner::Control::new(parts).start();
    let heartbeat = ports::Announced(fixtures::announcement(100, 1));
    runner.send(heartbeat).await.expect("a running actor");
    let listed = ports::ListAnswered {
        sent_at_ms: 0,
        answer: Some(fixtures::listing(5_000, &[])),
    };
    runner.send(listed).await.expect("a running actor");
    runner
}

/// Opens a watch at a runner.
async fn watch(
    runner: &actix::Addr<runner::Control>,
) -> tokio::sync::oneshot::Receiver<messages::Report> {
    let watch = messages::Watch {
        wait_ms: 150,
        ..fixtures::watch(fixtures::ENTRY, 0, 0, &[])
    };
    let received = runner.send(runner::WatchReceived(watch)).await;
    received.expect("a running actor")
}

/// Guards against a runner that refuses work after a suspension because it reads a heartbeat of its
/// backend server before the listing that arrived meanwhile.
#[actix_rt::test]
async fn heartbeat_read_first_makes_no_backend_server_unreachable() {
    let runner = ready_runner().await;
    let before = watch(&runner).await.await.expect("a report");
    let open = watch(&runner).await;

    thread::sleep(PAUSE);
    runner.do_send(ports::Announced(fixtures::announcement(100, 2)));
    let after = open.await.expect("a report");

    assert_eq!(before.load.readiness, messages::Readiness::Ready);
    assert_eq!(after.load.readiness, messages::Readiness::Ready);
}
