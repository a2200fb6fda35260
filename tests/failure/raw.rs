//! Bytes on a connection, as no client library would send them.

use std::io::Read as _;
use std::io::Write as _;
use std::net;

use bulrushtiller::codes;

use crate::rig;

/// What came back on a connection.
#[derive(Debug, Eq, PartialEq)]
pub struct Reply {
    pub status: Option<u16>,
    pub code: Option<u64>,
}

impl Reply {
    pub fn parse(bytes: &[u8]) -> Self {
        let text = String::from_utf8_lossy(bytes);
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let status = head.split(' ').nth(1).and_then(|word| word.parse().ok());
        let answer: Option<serde_json::Value> = serde_json::from_str(body).ok();
        Self {
            status,
            code: answer.and_then(|answer| answer["code"].as_u64()),
        }
    }

    pub fn of(code: codes::Code) -> Self {
        Self {
            status: Some(code.http_status()),
            code: Some(code.number().into()),
        }
    }
}

/// A connection with limits.
pub fn connect(address: net::SocketAddr) -> net::TcpStream {
    let stream = net::TcpStream::connect(address).expect("a connection");
    let limit = Some(rig::LIMIT);
    stream.set_read_timeout(limit).expect("a limit");
    stream.set_write_timeout(limit).expect("a limit");
    stream
}

/// What is read up to the end of the connection, however it ends.
pub fn rest(stream: &mut net::TcpStream) -> Reply {
    let mut bytes = Vec::new();
    // A reset after the answer leaves what was read in the buffer.
    drop(stream.read_to_end(&mut bytes));
    Reply::parse(&bytes)
}

/// Sends bytes and reads the answer; the other side may answer before it has all.
pub fn exchange(address: net::SocketAddr, bytes: &[u8]) -> Reply {
    let mut stream = connect(address);
    drop(stream.write_all(bytes));
    rest(&mut stream)
}

/// The body of the answer to a request that must be answered.
pub fn body(address: net::SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = connect(address);
    stream.write_all(bytes).expect("a request");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("an answer");
    let end = b"\r\n\r\n";
    let at = answer.windows(end.len()).position(|part| part == end);
    answer.split_off(at.expect("a head") + end.len())
}

/// Sends the beginning of a request, and no more ever.
pub fn truncated(address: net::SocketAddr, bytes: &[u8]) -> Reply {
    let mut stream = connect(address);
    drop(stream.write_all(bytes));
    drop(stream.shutdown(net::Shutdown::Write));
    rest(&mut stream)
}

/// A request that asks for the connection to be closed after the answer.
pub fn request(line: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!(
        "{line} HTTP/1.1\r\nHost: test\r\nConnection: close\r\n{headers}Content-Length: {length}\r\n\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// The header with a bearer token.
pub fn bearer(token: &str) -> String {
    format!("Authorization: Bearer {token}\r\n")
}

/// A call of the usual team.
pub fn call(line: &str, body: &str) -> Vec<u8> {
    request(line, &bearer(rig::TOKEN), body.as_bytes())
}

/// A message from another process.
pub fn message(path: &str, body: &serde_json::Value) -> Vec<u8> {
    let body = rmp_serde::to_vec_named(body).expect("a message");
    request(&format!("POST {path}"), "", &body)
}
