//! Raw HTTP requests, including malformed ones that no client library sends.

use std::io::Read as _;
use std::io::Write as _;
use std::net;

use bulrushtiller::codes;

use crate::rig;

/// Status line and result code of an HTTP response, as far as they can be read.
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

    pub fn with_code(code: codes::Code) -> Self {
        Self {
            status: Some(code.http_status()),
            code: Some(code.number().into()),
        }
    }
}

/// Opens a connection with read and write time-outs.
pub fn connect(address: net::SocketAddr) -> net::TcpStream {
    let stream = net::TcpStream::connect(address).expect("a connection");
    let limit = Some(rig::WAIT_LIMIT);
    stream.set_read_timeout(limit).expect("the time-out is set");
    stream
        .set_write_timeout(limit)
        .expect("the time-out is set");
    stream
}

/// Reads until the connection ends, whether closed or reset, and parses the response.
pub fn read_reply(stream: &mut net::TcpStream) -> Reply {
    let mut bytes = Vec::new();
    // After a reset, the buffer still holds the bytes read before it.
    drop(stream.read_to_end(&mut bytes));
    Reply::parse(&bytes)
}

/// Sends bytes and reads the response, which may come before all bytes are sent.
pub fn exchange(address: net::SocketAddr, bytes: &[u8]) -> Reply {
    let mut stream = connect(address);
    drop(stream.write_all(bytes));
    read_reply(&mut stream)
}

/// Sends a request and returns the body of the response; panics if there is none.
pub fn response_body(address: net::SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = connect(address);
    stream.write_all(bytes).expect("a request");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("an answer");
    let end = b"\r\n\r\n";
    let at = answer.windows(end.len()).position(|part| part == end);
    answer.split_off(at.expect("a head") + end.len())
}

/// Sends a part of a request, closes the sending side and reads the response.
pub fn exchange_truncated(address: net::SocketAddr, bytes: &[u8]) -> Reply {
    let mut stream = connect(address);
    drop(stream.write_all(bytes));
    drop(stream.shutdown(net::Shutdown::Write));
    read_reply(&mut stream)
}

/// Builds a request with `Connection: close`.
pub fn request(line: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!(
        "{line} HTTP/1.1\r\nHost: test\r\nConnection: close\r\n{headers}Content-Length: {length}\r\n\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// Builds the header with a bearer token.
pub fn bearer(token: &str) -> String {
    format!("Authorization: Bearer {token}\r\n")
}

/// Builds a request with the token of the default team.
pub fn authorized_request(line: &str, body: &str) -> Vec<u8> {
    request(line, &bearer(rig::TOKEN), body.as_bytes())
}

/// Builds a request that carries a message between processes.
pub fn peer_message(path: &str, body: &serde_json::Value) -> Vec<u8> {
    let body = rmp_serde::to_vec_named(body).expect("a message");
    request(&format!("POST {path}"), "", &body)
}
