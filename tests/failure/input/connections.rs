//! What is not HTTP, breaks off, or comes too slowly.

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
const DRIP: time::Duration = time::Duration::from_millis(250);

/// Shortest time that a slow body is borne, less a second for this side's clock.
const LEAST: time::Duration = time::Duration::from_secs(9);

/// Longest, with much room for a busy machine.
const MOST: time::Duration = time::Duration::from_secs(25);

const HEAD: &str = "POST /v1/jobs HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer token-a\r\n";

/// What breaks off or is not HTTP, each as the whole of a connection.
fn broken() -> Vec<Vec<u8>> {
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

/// Something that does not speak HTTP, or breaks off, holds no thread and no task:
/// its connection is closed. Below HTTP there is nobody to read a number.
#[test]
fn what_is_not_http_ends_its_connection_only() {
    let rig = rig::Rig::start(&input::plan());

    let mut replies = Vec::new();
    for address in input::ports(&rig) {
        let sent = broken().into_iter();
        replies.extend(sent.map(|bytes| raw::truncated(address, &bytes)));
    }

    let is_refusal = |reply: &raw::Reply| reply.status.is_none_or(|status| status >= 400);
    assert!(replies.iter().all(is_refusal), "{replies:?}");
    input::assert_unharmed(&rig, 0);
}

/// Sends a byte now and then until there is an answer or the other side closes.
fn drip(address: net::SocketAddr, head: &str) -> (raw::Reply, time::Duration) {
    let began = time::Instant::now();
    let mut stream = raw::connect(address);
    drop(stream.write_all(head.as_bytes()));
    stream.set_read_timeout(Some(DRIP)).expect("a limit");
    let mut bytes = Vec::new();
    let mut buf = [0; 1024];
    while began.elapsed() < rig::LIMIT {
        match stream.read(&mut buf) {
            Ok(0) => break,
            Ok(count) => bytes.extend_from_slice(&buf[..count]),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => drop(stream.write_all(b" ")),
            Err(_closed) => break,
        }
    }
    (raw::Reply::parse(&bytes), began.elapsed())
}

/// A sender of a byte now and then holds its connection; with enough of them no one
/// else would get one. It is told so (407) within the bound of 10 s.
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
        let drips = input::ports(&rig).into_iter().zip(paths);
        let drips: Vec<_> = drips
            .map(|(address, path)| scope.spawn(move || drip(address, &head(path))))
            .collect();
        let join = |one: thread::ScopedJoinHandle<'_, _>| one.join().expect("a reply");
        drips.into_iter().map(join).collect::<Vec<_>>()
    });

    for (reply, took) in answered {
        assert_eq!(reply, raw::Reply::of(codes::Code::TooSlow));
        assert!(took >= LEAST, "{took:?}");
        assert!(took < MOST, "{took:?}");
    }
    input::assert_unharmed(&rig, 0);
}
