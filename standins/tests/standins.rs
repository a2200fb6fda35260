//! Tests of the stand-ins' documented behaviour.

use std::net;
use std::path;
use std::time;

use actix_web::http::StatusCode;
use bulrushtiller_standins::command;
use bulrushtiller_standins::log_service;
use bulrushtiller_standins::processes;
use bulrushtiller_standins::relay;
use bulrushtiller_standins::worker;
use serde_json::Value;
use serde_json::json;

/// Time limit that only a hanging call reaches.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Duration of a lease that does not expire during a test.
const LONG_LEASE_MS: u64 = 600_000;

fn client() -> awc::Client {
    awc::Client::builder().timeout(TIMEOUT).finish()
}

async fn post(
    url: &str,
    body: &Value,
) -> Result<(StatusCode, Value), awc::error::SendRequestError> {
    let mut answer = client().post(url).send_json(body).await?;
    let body = answer.json().await.unwrap();
    Ok((answer.status(), body))
}

async fn get(url: &str) -> (StatusCode, Value) {
    let mut answer = client().get(url).send().await.unwrap();
    let body = answer.json().await.unwrap();
    (answer.status(), body)
}

/// Waits until `condition` is true.
async fn wait_until(mut condition: impl FnMut() -> bool) {
    let end = time::Instant::now() + TIMEOUT;
    while !condition() {
        assert!(time::Instant::now() < end, "did not come about");
        tokio::time::sleep(time::Duration::from_millis(2)).await;
    }
}

fn log(options: log_service::Options) -> (log_service::LogService, String) {
    let log = log_service::LogService::start(options).unwrap();
    let url = format!("http://{}/v1/streams/settings/records", log.address());
    (log, url)
}

fn fast_log() -> (log_service::LogService, String) {
    log(log_service::Options {
        append_ms: 0,
        ..log_service::Options::default()
    })
}

fn worker(options: worker::Options) -> (worker::Worker, String) {
    let worker = worker::Worker::start(options).unwrap();
    let url = format!("http://{}/v1", worker.address());
    (worker, url)
}

fn order(task: &str, payload: &Value, lease_ms: u64) -> Value {
    json!({
        "task": task, "team": "taipa", "kind": "fit", "payload": payload.to_string(),
        "cpu_milli": 1000, "memory_mib": 64, "lease_ms": lease_ms,
    })
}

fn start_count(worker: &worker::Worker) -> usize {
    let entries = worker.journal(0).entries;
    entries
        .iter()
        .filter(|e| e.event == worker::Event::Start)
        .count()
}

#[actix_web::test]
async fn appended_records_are_read_in_order_from_any_offset() {
    let (_log, url) = fast_log();

    let first = post(&url, &json!({"n": 0})).await.unwrap();
    let second = post(&url, &json!({"n": 1})).await.unwrap();
    let page = get(&format!("{url}?from=1")).await;
    let beyond = get(&format!("{url}?from=9")).await;

    assert_eq!(first, (StatusCode::OK, json!({"offset": 0})));
    assert_eq!(second.1, json!({"offset": 1}));
    let records = json!([{"offset": 1, "record": {"n": 1}}]);
    assert_eq!(page.1, json!({"first": 0, "next": 2, "records": records}));
    assert_eq!(beyond.1, json!({"first": 0, "next": 2, "records": []}));
}

#[actix_web::test]
async fn long_poll_returns_on_append() {
    let (log, url) = fast_log();
    let poll_url = format!("{url}?from=0&wait_ms=600000");
    let poll = actix_rt::spawn(async move { get(&poll_url).await });
    wait_until(|| log.report().reads == 1).await;

    post(&url, &json!("late")).await.unwrap();
    let page = tokio::time::timeout(TIMEOUT, poll).await.unwrap().unwrap();

    assert_eq!(page.1["records"], json!([{"offset": 0, "record": "late"}]));
}

#[actix_web::test]
async fn records_expire_by_count_and_on_demand() {
    let retention = log_service::streams::Retention {
        records: Some(3),
        age_ms: None,
    };
    let (log, url) = log(log_service::Options {
        retention,
        append_ms: 0,
        ..log_service::Options::default()
    });
    for n in 0..5 {
        post(&url, &json!(n)).await.unwrap();
    }

    let by_count = get(&url).await.1;
    let control = json!({"expire_to": 4, "stream": "settings"});
    let control_url = format!("http://{}/control", log.address());
    post(&control_url, &control).await.unwrap();
    let on_demand = get(&url).await.1;

    assert_eq!(
        (&by_count["first"], &by_count["next"]),
        (&json!(2), &json!(5))
    );
    assert_eq!(on_demand["first"], json!(4));
    assert_eq!(on_demand["records"], json!([{"offset": 4, "record": 4}]));
}

/// The connection of an append closes without an answer, yet readers receive the record: the
/// service has synced it before the answer is lost.
#[actix_web::test]
async fn lost_answer_keeps_the_record() {
    let (log, url) = fast_log();
    log.set_mode(log_service::Mode::LoseAnswers);

    let answer = post(&url, &json!("kept")).await;
    let page = get(&url).await.1;

    assert!(answer.is_err(), "{answer:?}");
    assert_eq!(page["records"], json!([{"offset": 0, "record": "kept"}]));
}

/// An append is answered, but no process receives the record: the service goes down between
/// the append and the first read, including the reads that wait.
#[actix_web::test]
async fn log_down_after_append_hides_the_record_from_readers() {
    let (log, url) = fast_log();
    let poll_url = format!("{url}?wait_ms=600000");
    let poll = actix_rt::spawn(async move { get(&poll_url).await });
    wait_until(|| log.report().reads == 1).await;
    log.set_mode(log_service::Mode::DownAfterAppend);

    let answer = post(&url, &json!("unseen")).await.unwrap();
    let waiting = tokio::time::timeout(TIMEOUT, poll).await.unwrap().unwrap();
    let later = get(&url).await;
    log.set_mode(log_service::Mode::Up);
    let up_again = get(&url).await;

    assert_eq!(answer.0, StatusCode::OK);
    assert_eq!(waiting.0, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(later.0, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(up_again.1["next"], json!(1));
}

#[actix_web::test]
async fn delays_of_log_and_relay_add_up() {
    let (log, url) = fast_log();
    let (relay, _) = relay_to(log.address()).await;
    let url = url.replace(&log.address().to_string(), &relay.address().to_string());
    let slow = json!({"mode": "slow", "slow_ms": 60});
    post(&format!("http://{}/control", log.address()), &slow)
        .await
        .unwrap();
    relay.set(relay::Behaviour::Delay { ms: 20 });

    let began = time::Instant::now();
    let answer = post(&url, &json!(0)).await.unwrap();
    let took = began.elapsed();

    assert_eq!(answer.1, json!({"offset": 0}));
    assert!(took >= time::Duration::from_millis(100), "{took:?}");
}

#[actix_web::test]
async fn appends_beyond_the_rate_are_refused() {
    let (log, url) = log(log_service::Options {
        append_ms: 0,
        appends_per_s: 1,
        ..log_service::Options::default()
    });

    let mut refused = false;
    wait_until_async(async || {
        refused = post(&url, &json!(0)).await.unwrap().0 == StatusCode::SERVICE_UNAVAILABLE;
        refused
    })
    .await;

    assert_eq!(log.report().over_rate, 1);
}

/// Like [`wait_until`], with an asynchronous condition and no pause.
async fn wait_until_async(mut condition: impl AsyncFnMut() -> bool) {
    let end = time::Instant::now() + TIMEOUT;
    while !condition().await {
        assert!(time::Instant::now() < end, "did not come about");
    }
}

#[actix_web::test]
async fn task_runs_once_and_repeated_start_is_a_violation() {
    let (worker, url) = worker(worker::Options::default());
    let tasks = format!("{url}/tasks");
    let order = order(
        "a-1",
        &json!({"sleep_ms": 5, "output": "cut"}),
        LONG_LEASE_MS,
    );

    let first = post(&tasks, &order).await.unwrap();
    let again = post(&tasks, &order).await.unwrap();
    let bad = post(&tasks, &json!({"task": "a-2"})).await.unwrap();
    let journal = get(&format!("{url}/journal?from=1")).await.1;

    assert_eq!(first.0, StatusCode::OK);
    assert_eq!(first.1["status"], json!("done"));
    assert_eq!(first.1["output"], json!("cut"));
    assert_eq!(first.1["peak"]["cpu_milli"], json!(1000));
    assert_eq!(
        (again.0, bad.0),
        (StatusCode::CONFLICT, StatusCode::BAD_REQUEST)
    );
    assert_eq!(journal["violations"], json!(1));
    assert_eq!(journal["entries"][0]["event"], json!("end"));
    assert_eq!(start_count(&worker), 1);
}

/// The runner of a worker dies: the connection of its task is closed and the lease is not
/// renewed. The worker stops the task when the lease expires, and not before.
#[actix_web::test]
async fn task_stops_when_its_lease_expires_unless_renewed() {
    let (worker, url) = worker(worker::Options::default());
    let tasks = format!("{url}/tasks");
    let renewed_order = order("renewed", &json!({"hang": true}), LONG_LEASE_MS);
    let renewed_url = tasks.clone();
    let renewed = actix_rt::spawn(async move { post(&renewed_url, &renewed_order).await });
    wait_until(|| start_count(&worker) == 1).await;

    let lapsed = post(&tasks, &order("lapsed", &json!({"hang": true}), 30)).await;
    let renewal = json!({"tasks": ["renewed", "unknown"], "lease_ms": 1});
    let unknown = post(&format!("{url}/leases"), &renewal).await.unwrap();
    let renewed = tokio::time::timeout(TIMEOUT, renewed)
        .await
        .unwrap()
        .unwrap();

    let lapsed = lapsed.unwrap().1;
    assert_eq!(lapsed["status"], json!("stopped"));
    assert!(lapsed["run_ms"].as_u64().unwrap() >= 30);
    assert_eq!(unknown.1, json!({"unknown": ["unknown"]}));
    assert_eq!(renewed.unwrap().1["status"], json!("stopped"));
}

/// The caller of a task closes its connection: the worker does not notice and runs the task
/// until its lease expires, which only the journal shows.
#[actix_web::test]
async fn task_outlives_the_connection_of_its_caller() {
    let (worker, url) = worker(worker::Options::default());
    let order = order("a-1", &json!({"hang": true}), 200);
    let tasks = format!("{url}/tasks");
    let caller = actix_rt::spawn(async move { post(&tasks, &order).await });
    wait_until(|| start_count(&worker) == 1).await;

    caller.abort();
    wait_until(|| worker.journal(0).entries.len() == 2).await;

    let entries = worker.journal(0).entries;
    assert_eq!(entries[1].event, worker::Event::End);
    assert!(entries[1].at_ms - entries[0].at_ms >= 199);
}

#[actix_web::test]
async fn throttle_factor_and_task_are_validated() {
    let (worker, url) = worker(worker::Options::default());
    let order = order("a-1", &json!({"hang": true}), LONG_LEASE_MS);
    let tasks = format!("{url}/tasks");
    let running = actix_rt::spawn(async move { post(&tasks, &order).await });
    wait_until(|| start_count(&worker) == 1).await;
    let throttle = format!("{url}/tasks/a-1/throttle");

    let good = post(&throttle, &json!({"factor": 0.1})).await.unwrap();
    let zero = post(&throttle, &json!({"factor": 0})).await.unwrap();
    let unknown = format!("{url}/tasks/a-2/throttle");
    let unknown = post(&unknown, &json!({"factor": 1})).await.unwrap();

    assert_eq!(good.0, StatusCode::OK);
    assert_eq!(zero.0, StatusCode::BAD_REQUEST);
    assert_eq!(unknown.0, StatusCode::NOT_FOUND);
    running.abort();
}

#[actix_web::test]
async fn stopped_task_reports_status_stopped() {
    let (worker, url) = worker(worker::Options::default());
    let order = order("a-1", &json!({"hang": true}), LONG_LEASE_MS);
    let tasks = format!("{url}/tasks");
    let running = actix_rt::spawn(async move { post(&tasks, &order).await });
    wait_until(|| start_count(&worker) == 1).await;

    let stop = post(&format!("{url}/tasks/a-1/stop"), &json!({}))
        .await
        .unwrap();
    let ended = tokio::time::timeout(TIMEOUT, running)
        .await
        .unwrap()
        .unwrap();
    let again = post(&format!("{url}/tasks/a-1/stop"), &json!({}))
        .await
        .unwrap();

    assert_eq!(stop.0, StatusCode::OK);
    assert_eq!(ended.unwrap().1["status"], json!("stopped"));
    assert_eq!(again.0, StatusCode::NOT_FOUND);
}

#[actix_web::test]
async fn overcommitted_memory_fails_the_new_task_and_cpu_slows_all() {
    let size = worker::Size {
        cpu_milli: 500,
        memory_mib: 100,
        accelerators: 0,
    };
    let (_worker, url) = worker(worker::Options {
        size,
        usage_lag_ms: 0,
        ..worker::Options::default()
    });
    let tasks = format!("{url}/tasks");
    let order_of = |name, payload: &Value| order(name, payload, LONG_LEASE_MS);

    let large = order_of("large", &json!({"use_memory_mib": 101}));
    let killed = post(&tasks, &large).await.unwrap().1;
    let slowed = post(&tasks, &order_of("slowed", &json!({"sleep_ms": 50}))).await;
    let usage = get(&format!("{url}/usage")).await.1;

    assert_eq!(killed["status"], json!("failed"));
    assert_eq!(killed["output"], json!("out of memory"));
    assert!(slowed.unwrap().1["run_ms"].as_u64().unwrap() >= 99);
    assert_eq!(
        (&usage["tasks"], &usage["size"]["cpu_milli"]),
        (&json!(0), &json!(500))
    );
}

#[actix_web::test]
async fn usage_report_lags_behind() {
    let (worker, url) = worker(worker::Options {
        usage_lag_ms: LONG_LEASE_MS,
        ..worker::Options::default()
    });
    let order = order("a-1", &json!({"hang": true}), LONG_LEASE_MS);
    let tasks = format!("{url}/tasks");
    let running = actix_rt::spawn(async move { post(&tasks, &order).await });
    wait_until(|| start_count(&worker) == 1).await;

    let usage = get(&format!("{url}/usage")).await.1;

    assert_eq!(usage["tasks"], json!(0));
    running.abort();
}

async fn relay_to(to: net::SocketAddr) -> (relay::Relay, String) {
    let relay = relay::Relay::start(command::ANY_PORT, to).await.unwrap();
    let url = format!("http://{}/v1", relay.address());
    (relay, url)
}

/// An open connection becomes silent for good while new ones work, as when a device between
/// the ends loses its state. The request is dropped and the caller waits, while a new
/// connection works at once.
#[actix_web::test]
async fn open_connection_becomes_silent_while_new_ones_work() {
    let (worker, _url) = worker(worker::Options::default());
    let (relay, url) = relay_to(worker.address()).await;
    let usage = format!("{url}/usage");
    let old = client();
    old.get(&usage).send().await.unwrap().body().await.unwrap();

    relay.set(relay::Behaviour::SilentExisting);
    let call = old.get(&usage).send();
    let silent = actix_rt::spawn(async move { call.await.is_ok() });
    wait_until(|| relay.counts().swallowed_to_target_bytes > 0).await;
    let fresh = get(&usage).await;

    assert_eq!(fresh.0, StatusCode::OK);
    assert!(!silent.is_finished());
    assert_eq!(relay.counts().open, 2);
}

/// Guards against a killed process that seems to have received what a relay accepted for it.
#[actix_web::test]
async fn connections_to_a_killed_target_are_refused_until_it_listens_again() {
    let target = std::net::TcpListener::bind(command::ANY_PORT).unwrap();
    let to = target.local_addr().unwrap();
    let (relay, _) = relay_to(to).await;
    let connect = async || tokio::net::TcpStream::connect(relay.address()).await;

    drop(target);
    relay.refuse_until_target_listens();

    wait_until_async(async || connect().await.is_err()).await;
    let _target = std::net::TcpListener::bind(to).unwrap();
    wait_until_async(async || connect().await.is_ok()).await;
}

/// A dispatch reaches the worker and runs, but its answer never arrives: only the direction
/// from the target is silent, also on new connections.
#[actix_web::test]
async fn task_runs_while_only_answers_are_dropped() {
    let (worker, _url) = worker(worker::Options::default());
    let (relay, url) = relay_to(worker.address()).await;
    let behaviour = relay::Behaviour::Silent {
        direction: relay::Direction::FromTarget,
        new_too: true,
    };
    relay.set(behaviour);

    let order = order("a-1", &json!({}), LONG_LEASE_MS);
    let call = actix_rt::spawn(async move { post(&format!("{url}/tasks"), &order).await });
    wait_until(|| relay.counts().swallowed_from_target_bytes > 0).await;
    let answered = call.is_finished();
    relay.set(relay::Behaviour::Cut);
    let cut = tokio::time::timeout(TIMEOUT, call).await.unwrap().unwrap();

    assert!(!answered);
    assert!(cut.is_err(), "{cut:?}");
    assert_eq!(start_count(&worker), 1);
}

/// A process is reached at the port that it prints, does not answer while suspended, answers
/// once resumed, and exits on SIGTERM.
#[actix_web::test]
async fn process_is_started_suspended_resumed_and_terminated() {
    let folder = tempfile::tempdir().unwrap();
    let program = path::Path::new(env!("CARGO_BIN_EXE_standin-worker"));
    let args = ["--cpu-milli", "2000"];
    let mut process = processes::Process::start(program, args, "worker", folder.path()).unwrap();
    let url = format!("http://{}/v1/usage", process.address());

    process.suspend().unwrap();
    let mut call = actix_rt::spawn(async move { get(&url).await });
    let suspended = tokio::time::timeout(time::Duration::from_millis(100), &mut call).await;
    process.resume().unwrap();
    let resumed = tokio::time::timeout(TIMEOUT, call).await.unwrap().unwrap();
    process.terminate().unwrap();
    let exit = process.wait_exit(TIMEOUT).unwrap();

    suspended.unwrap_err();
    assert_eq!(resumed.1["size"]["cpu_milli"], json!(2000));
    assert!(exit.is_some());
    let out = std::fs::read_to_string(folder.path().join("worker.out")).unwrap();
    assert!(out.starts_with("listening 127.0.0.1:"), "{out}");
}

#[actix_web::test]
async fn relay_and_log_run_as_processes() {
    let folder = tempfile::tempdir().unwrap();
    let log = env!("CARGO_BIN_EXE_standin-log");
    let relay = env!("CARGO_BIN_EXE_standin-relay");
    let start = |program, args: &[&str], name| {
        processes::Process::start(path::Path::new(program), args, name, folder.path()).unwrap()
    };
    let log = start(log, &["--retention", "10"], "log");
    let to = log.address().to_string();
    let relay = start(relay, &["--to", &to], "relay");
    let control = relay.wait_for_address("control").unwrap();
    let url = format!("http://{}/v1/streams/s/records", relay.address());

    let through = post(&url, &json!(1)).await.unwrap();
    let cut = post(
        &format!("http://{control}/control"),
        &json!({"mode": "cut"}),
    )
    .await;
    let refused = post(&url, &json!(2)).await;

    assert_eq!(through.1, json!({"offset": 0}));
    assert_eq!(cut.unwrap().1["open"], json!(0));
    assert!(refused.is_err(), "{refused:?}");
}
