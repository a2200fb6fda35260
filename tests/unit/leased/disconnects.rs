//! Callers that disconnect before the handle of their job reaches their request.

use std::sync;
use std::time;

use bulrushtiller::clock;
use bulrushtiller::leased::entry;
use bulrushtiller::leased::entry::taken_jobs;
use bulrushtiller::leased::handover;
use bulrushtiller::leased::ports;
use bulrushtiller::leased::process;
use bulrushtiller::leased::traffic;
use bulrushtiller::outgoing;
use bulrushtiller::wire;
use smol_str::SmolStr;

use super::fixtures;
use super::fixtures::ENTRY;
use super::fixtures::OTHER;

/// Returns the control thread of an entry that knows a queue and no runner, and its clock.
fn start_control() -> (actix::Addr<entry::Control>, clock::Clock) {
    let clock = clock::Clock::start();
    let parts = entry::Parts {
        me: ENTRY,
        address: "127.0.0.1:9".into(),
        zone: "bento".into(),
        cpu_milli: 500,
        clock,
        pool: sync::Arc::new(outgoing::Pool::start(1)),
        view: entry::SharedView::default(),
        traffic: sync::Arc::new(traffic::Traffic::default()),
        grace: time::Duration::from_secs(1),
        watch_set: 1,
        handover: handover::Settings::default(),
        round_trips: sync::Arc::default(),
        cancel_ms: 3_000,
        early_refusal: false,
    };
    let control = process::start_control(move || entry::Control::new(parts));
    let control = control.expect("control thread started");
    control.do_send(ports::DirectivesReceived {
        directives: fixtures::directives(3),
        from: "store".into(),
    });
    (control, clock)
}

async fn state(control: &actix::Addr<entry::Control>, id: &SmolStr) -> Option<bool> {
    let state = control.send(entry::GetState(id.clone())).await;
    state.expect("control thread runs")
}

/// Guards against runs that outlive a caller whose request the HTTP library dropped.
#[actix_rt::test]
async fn job_whose_handle_is_dropped_unread_ends() {
    let (control, _clock) = start_control();
    let job = fixtures::job(1, 1, 1_600, 60_000);
    let id = job.id.clone();
    let submit = entry::Submit {
        job,
        queue: fixtures::queue(),
        timeout_ms: Some(600_000),
        connection: None,
    };

    let submitted = control.send(submit).await.expect("control thread runs");
    let before = state(&control, &id).await;
    drop(submitted);
    let after = state(&control, &id).await;

    assert_eq!((before, after), (Some(false), None));
}

/// Guards against runs that outlive an origin whose request the HTTP library dropped.
#[actix_rt::test]
async fn job_of_another_entry_whose_handle_is_dropped_unread_ends() {
    let (control, clock) = start_control();
    let job = fixtures::job(1, 1, 1_600, 60_000);
    let id = job.id.clone();
    let handover = handover::messages::Handover {
        version: wire::VERSION,
        origin: OTHER,
        from: "127.0.0.1:10".into(),
        peer: Some(ENTRY),
        alive_at_ms: Some(clock.now_ms()),
        number: 1,
        configuration: 3,
        queue: fixtures::queue().name,
        job: id.clone(),
        spec: sync::Arc::clone(&job.spec),
        steps: job
            .steps
            .iter()
            .map(handover::messages::Step::from)
            .collect(),
        timeout_ms: 600_000,
        waited_ms: 0,
    };

    let taken = control
        .send(taken_jobs::TakeIn {
            handover,
            connection: None,
        })
        .await;
    let taken = taken.expect("control thread runs");
    let before = state(&control, &id).await;
    drop(taken);
    let after = state(&control, &id).await;

    assert_eq!((before, after), (Some(false), None));
}
