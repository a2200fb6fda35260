//! Tests of the naive dispatcher.

use std::time;

use bulrushtiller_standins::naive;
use bulrushtiller_standins::worker;
use serde_json::Value;
use serde_json::json;

/// Time limit that only a hanging call reaches.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);

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
    let client = awc::Client::builder().timeout(TIMEOUT).finish();
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
async fn complete_answer_lists_outputs_in_task_order() {
    let (naive, _worker) = start(8);
    let (_, issued) = post(&naive, "/v1/tickets", &json!({ "count": 2 })).await;
    let id = issued["tickets"][1].as_str().unwrap();

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
async fn repeated_submission_gets_the_answer_and_starts_nothing() {
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
    assert_eq!(started_payloads(&worker), [r#"{"sleep_ms": 100}"#]);
}

#[actix_rt::test]
async fn single_slot_runs_tasks_in_order_of_arrival() {
    let (naive, worker) = start(1);
    let slow = [r#"{"sleep_ms": 50}"#, "a", "b"];

    post(&naive, "/v1/jobs", &job("x", &slow, 0)).await;
    let (_, last) = post(&naive, "/v1/jobs", &job("y", &["c"], 20_000)).await;

    assert_eq!(last["code"], 0);
    assert_eq!(
        started_payloads(&worker),
        [r#"{"sleep_ms": 50}"#, "a", "b", "c"]
    );
}

/// Returns the payloads of the started tasks, in order.
fn started_payloads(worker: &worker::Worker) -> Vec<String> {
    let entries = worker.journal(0).entries.into_iter();
    let starts = entries.filter(|entry| entry.event == worker::Event::Start);
    starts.map(|entry| entry.payload.to_string()).collect()
}
