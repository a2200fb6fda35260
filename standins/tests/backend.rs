//! Tests of the stand-in for a backend server.

use std::future;
use std::net;
use std::sync;
use std::time;

use actix_web::web;
use bulrushtiller_standins::platform::backend;
use bulrushtiller_standins::platform::heartbeats;
use bulrushtiller_standins::server;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// Deadline of a lease that is shortened to the longest one, in milliseconds.
const LATE_MS: u64 = 60_000;

/// Time limit that only a hanging call reaches.
const TIMEOUT: time::Duration = time::Duration::from_secs(20);

const ANY_PORT: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

fn start_backend() -> (sync::Arc<backend::Backend>, server::Server) {
    let state = sync::Arc::new(backend::Backend::new("i-1", 1_000));
    let shared = sync::Arc::clone(&state);
    let started = server::Server::start_with_idle_timeout(
        net::SocketAddr::from(ANY_PORT),
        backend::IDLE_TIMEOUT,
        move |cfg| backend::configure(cfg, &shared),
    );
    (state, started.expect("stand-in started"))
}

async fn call(at: net::SocketAddr, path: &str, meant_for: &str, body: &Value) -> (u16, Value) {
    let request = awc::Client::new().post(format!("http://{at}{path}"));
    let request = request.insert_header(("Expect-Instance", meant_for));
    let mut response = request.send_json(body).await.expect("call answered");
    let body = response.json().await.expect("body received");
    (response.status().as_u16(), body)
}

fn start(index: usize, work_ms: u64, deadline_ms: u64) -> Value {
    json!({"task": format!("ab.0.0.{index}"), "run": 1, "spec": work_ms.to_string(),
        "deadline_ms": deadline_ms, "fence": 1})
}

/// Guards against a stand-in that carries out what is meant for another incarnation.
#[rstest]
#[case::start("/run-start", start(0, 100, LATE_MS))]
#[case::stop("/run-stop", json!({"task": "ab.0.0.0", "run": 1, "fence": 9}))]
#[case::hold("/hold", json!({"deadline_ms": LATE_MS, "fence": 9, "acked_up_to": 9}))]
#[actix_rt::test]
async fn call_for_another_incarnation_does_nothing(#[case] path: &str, #[case] body: Value) {
    let (state, server) = start_backend();

    let (status, _) = call(server.address(), path, "i-2", &body).await;
    let (next, _) = call(server.address(), "/run-start", "i-1", &start(0, 1, LATE_MS)).await;

    assert_eq!((status, next), (421, 200));
    assert_eq!(state.runs().len(), 1);
}

/// Guards against a stand-in whose lease lapses although a refused start has renewed it.
#[actix_rt::test]
async fn start_of_an_old_run_renews_the_lease() {
    let (state, server) = start_backend();
    let at = server.address();
    call(at, "/run-start", "i-1", &start(0, 10, 200)).await;
    call(at, "/run-start", "i-1", &start(1, 400, 200)).await;
    tokio::time::sleep(time::Duration::from_millis(50)).await;

    let (status, refused) = call(at, "/run-start", "i-1", &start(0, 10, 700)).await;
    tokio::time::sleep(time::Duration::from_millis(500)).await;

    let hows = state
        .runs()
        .into_iter()
        .map(|run| run.ended.map(|end| end.1));
    assert_eq!((status, &refused["reason"]), (409, &json!("old")));
    assert_eq!(hows.collect::<Vec<_>>(), [Some("done"), Some("done")]);
}

/// Guards against a stand-in that lists all ends at once, or forgets those beyond a listing.
#[actix_rt::test]
async fn ends_are_listed_in_parts_until_they_are_acknowledged() {
    let (_state, server) = start_backend();
    let at = server.address();
    for index in 0..501 {
        call(at, "/run-start", "i-1", &start(index, 0, LATE_MS)).await;
    }
    let hold = |acked: u64| json!({"fence": 1, "acked_up_to": acked, "wait_ms": 0});

    let (_, first) = call(at, "/hold", "i-1", &hold(0)).await;
    let (_, second) = call(at, "/hold", "i-1", &hold(500)).await;

    assert_eq!(first["finished"].as_array().map(Vec::len), Some(500));
    assert_eq!(second["finished"][0][0], json!(501));
    assert_eq!(second["finished"].as_array().map(Vec::len), Some(1));
}

/// Guards against a stand-in that keeps idle connections open.
#[actix_rt::test]
async fn idle_connection_is_closed() {
    let (_state, server) = start_backend();
    let opened = tokio::net::TcpStream::connect(server.address()).await;
    let mut connection = opened.expect("connection opened");
    let sent = connection
        .write_all(b"GET /hold HTTP/1.1\r\nHost: a\r\n\r\n")
        .await;
    sent.expect("request sent");

    let mut received = Vec::new();
    let limit = 2 * backend::IDLE_TIMEOUT;
    let closed = tokio::time::timeout(limit, connection.read_to_end(&mut received)).await;

    assert!(closed.is_ok(), "the connection is still open");
    assert!(!received.is_empty());
}

/// Guards against a stand-in that gives up a heartbeat which its first daemon refuses or keeps.
#[rstest]
#[case::refused(false)]
#[case::unanswered(true)]
#[actix_rt::test]
async fn heartbeat_without_acknowledgement_goes_to_the_next_daemon(#[case] accepts: bool) {
    let (state, _server) = start_backend();
    let silent = net::TcpListener::bind(net::SocketAddr::from(ANY_PORT)).expect("port bound");
    let first = silent.local_addr().expect("address");
    let _kept = accepts.then_some(silent);
    let (tx, mut rx) = tokio::sync::mpsc::unbounded_channel::<Value>();
    let next = server::Server::start(net::SocketAddr::from(ANY_PORT), move |cfg| {
        let tx = tx.clone();
        let receive = move |body: web::Json<Value>| {
            drop(tx.send(body.into_inner()));
            future::ready(actix_web::HttpResponse::Ok().finish())
        };
        cfg.route("/instances/i-1/heartbeat", web::post().to(receive));
    })
    .expect("daemon started");

    let _heartbeats = heartbeats::Heartbeats::start(
        state,
        heartbeats::Route {
            service: "taipa".to_owned(),
            zone: "bento".to_owned(),
            interval: TIMEOUT,
            daemons: heartbeats::Daemons::fixed(vec![first, next.address()]),
        },
    );

    let received = tokio::time::timeout(TIMEOUT, rx.recv()).await;
    let received = received.expect("heartbeat received in time");
    assert_eq!(
        received.map(|body| body["born"].clone()),
        Some(json!(1_000))
    );
}
