//! The naive dispatcher does what it says, and no more.

use std::time;

use bulrushtiller_standins::naive;
use bulrushtiller_standins::worker;
use serde_json::Value;
use serde_json::json;

/// Nothing here takes this long; it only keeps a fault from hanging the run.
const LIMIT: time::Duration = time::Duration::from_secs(30);

fn start(slots: usize) -> (naive::Naive, worker::Worker) {
    let worker = worker::Worker::start(worker::Options::default()).unwrap();
    let options = naive::Options {
        workers: vec![worker.address()],
        slots,
        ..naive::Options::default()
    };
    (naive::Naive::start(&options).unwrap(), worker)
}

async fn post(naive: &naive::Naive, path: &str, body: &Value) -> (u16, Value) {
    let client = awc::Client::builder().timeout(LIMIT).finish();
    let url = format!("http://{}{path}", naive.address());
    let mut answer = client.post(url).send_json(body).await.unwrap();
    (answer.status().as_u16(), answer.json().await.unwrap())
}

fn job(id: &str, payloads: &[&str], wait_ms: u64) -> Value {
    let tasks: Vec<_> = payloads
        .iter()
        .map(|text| json!({ "payload": text }))
        .collect();
    json!({ "submission": id, "wait_ms": wait_ms, "deadline_ms": 1, "tasks": tasks })
}

#[actix_rt::test]
async fn whole_answer_in_the_order_of_the_tasks() {
    let (naive, _worker) = start(8);
    let (_, given) = post(&naive, "/v1/tickets", &json!({ "count": 2 })).await;
    let id = given["tickets"][1].as_str().unwrap();

    let (status, answer) = post(&naive, "/v1/jobs", &job(id, &["a", "b", "c"], 20_000)).await;

    let outputs: Vec<_> = (0..3).map(|at| &answer["tasks"][at]["output"]).collect();
    assert_eq!(
        (status, &answer["code"], &answer["final"]),
        (200, &json!(0), &json!(true))
    );
    assert_eq!(outputs, ["a", "b", "c"]);
}

#[actix_rt::test]
async fn failed_task_fails_its_job() {
    let (naive, _worker) = start(8);

    let body = job("x", &["a", r#"{"fail": true}"#], 20_000);
    let (_, answer) = post(&naive, "/v1/jobs", &body).await;

    assert_eq!(answer["code"], 200);
    assert_eq!(answer["tasks"][1]["fate"], "failed");
}

#[actix_rt::test]
async fn repeat_attaches_and_starts_nothing() {
    let (naive, worker) = start(8);
    let body = job("x", &[r#"{"sleep_ms": 100}"#], 0);

    let (status, first) = post(&naive, "/v1/jobs", &body).await;
    let body = job("x", &[r#"{"sleep_ms": 100}"#], 20_000);
    let (_, second) = post(&naive, "/v1/jobs", &body).await;

    assert_eq!(
        (status, &first["code"], &first["final"]),
        (202, &json!(1), &json!(false))
    );
    assert_eq!(second["code"], 0);
    assert_eq!(starts(&worker), [r#"{"sleep_ms": 100}"#]);
}

#[actix_rt::test]
async fn one_slot_serves_in_the_order_of_arrival() {
    let (naive, worker) = start(1);
    let slow = [r#"{"sleep_ms": 50}"#, "a", "b"];

    post(&naive, "/v1/jobs", &job("x", &slow, 0)).await;
    let (_, last) = post(&naive, "/v1/jobs", &job("y", &["c"], 20_000)).await;

    assert_eq!(last["code"], 0);
    assert_eq!(starts(&worker), [r#"{"sleep_ms": 50}"#, "a", "b", "c"]);
}

/// Payloads in the order in which they were started.
fn starts(worker: &worker::Worker) -> Vec<String> {
    let entries = worker.journal(0).entries.into_iter();
    let starts = entries.filter(|entry| entry.event == worker::Event::Start);
    starts.map(|entry| entry.payload.to_string()).collect()
}
