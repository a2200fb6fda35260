//! Malformed, truncated and slow HTTP requests.

use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::thread;
use std::time;

use bulrushtiller::codes;
use bulrushtiller::wire;

use crate::input;
use crate::raw;
use crate::rig;

/// Time between two bytes of a slow sender.
const BYTE_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Minimum time until a slow body is refused: the limit of 10 s, less 1 s for the test's clock.
const MIN_REFUSAL_TIME: time::Duration = time::Duration::from_secs(9);

/// Maximum time until a slow body is refused, with a margin for a busy machine.
const MAX_REFUSAL_TIME: time::Duration = time::Duration::from_secs(25);

const HEAD: &str = "POST /v1/jobs HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer token-a\r\n";

/// Malformed or truncated requests, each sent on its own connection.
fn malformed_requests() -> Vec<Vec<u8>> {
    let huge = format!("X: {}\r\n", "x".repeat(1 << 20));
    let many = "X: y\r\n".repeat(1_000);
    vec![
        b"\x16\x03\x01 this is not HTTP\r\n\r\n".to_vec(),
        b"POST /v1/jobs HTT".to_vec(),
        raw::request("GET /status", &huge, b""),
        raw::request("GET /status", &many, b""),
        format!("{HEAD}Content-Length: x\r\n\r\n").into_bytes(),
        format!("{HEAD}Transfer-Encoding: chunked\r\n\r\nzz\r\n").into_bytes(),
        format!("{HEAD}Content-Length: 1000\r\n\r\n{{").into_bytes(),
    ]
}

/// Guards against a client that sends no valid HTTP or stops halfway and so holds a thread or
/// a task. Its connection is closed. It need not get a result code, which it could not read.
#[test]
fn malformed_http_closes_only_its_connection() {
    let rig = rig::Rig::start(&input::plan());

    let mut replies = Vec::new();
    for address in input::ports(&rig) {
        let sent = malformed_requests().into_iter();
        replies.extend(sent.map(|bytes| raw::exchange_truncated(address, &bytes)));
    }

    let is_refusal = |reply: &raw::Reply| reply.status.is_none_or(|status| status >= 400);
    assert!(replies.iter().all(is_refusal), "{replies:?}");
    input::assert_still_serving(&rig, 0);
}

/// Sends a byte every [`BYTE_INTERVAL`] until the response is complete or the connection closes.
fn send_slowly(address: net::SocketAddr, head: &str) -> (raw::Reply, time::Duration) {
    let began = time::Instant::now();
    let mut stream = raw::connect(address);
    drop(stream.write_all(head.as_bytes()));
    stream
        .set_read_timeout(Some(BYTE_INTERVAL))
        .expect("the time-out is set");
    let mut bytes = Vec::new();
    let mut buf = [0; 1024];
    while began.elapsed() < rig::WAIT_LIMIT {
        match stream.read(&mut buf) {
            Ok(0) => break,
            Ok(count) => bytes.extend_from_slice(&buf[..count]),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => drop(stream.write_all(b" ")),
            Err(_closed) => break,
        }
    }
    (raw::Reply::parse(&bytes), began.elapsed())
}

/// Guards against slow senders that use up all connections. A body that is not complete after
/// 10 s is refused (code 407).
#[test]
fn slow_body_is_refused_in_time_on_every_port() {
    let rig = rig::Rig::start(&input::plan());
    let head = |path: &str| {
        let token = raw::bearer(rig::TOKEN);
        format!(
            "POST {path} HTTP/1.1\r\nHost: test\r\nConnection: close\r\n{token}Content-Length: 1000\r\n\r\n"
        )
    };
    let paths = ["/v1/jobs", wire::HEARTBEAT_PATH, wire::DISPATCH_PATH];

    let answered = thread::scope(|scope| {
        let senders = input::ports(&rig).into_iter().zip(paths);
        let senders: Vec<_> = senders
            .map(|(address, path)| scope.spawn(move || send_slowly(address, &head(path))))
            .collect();
        let join = |one: thread::ScopedJoinHandle<'_, _>| one.join().expect("a reply");
        senders.into_iter().map(join).collect::<Vec<_>>()
    });

    for (reply, took) in answered {
        assert_eq!(reply, raw::Reply::with_code(codes::Code::TooSlow));
        assert!(took >= MIN_REFUSAL_TIME, "{took:?}");
        assert!(took < MAX_REFUSAL_TIME, "{took:?}");
    }
    input::assert_still_serving(&rig, 0);
}
