//! Calls to other processes that fail on the way.

use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::thread;
use std::time;

use bulrushtiller::outgoing;
use bulrushtiller::wire;
use rstest::rstest;

/// Time limit of the calls.
const LIMIT: time::Duration = time::Duration::from_secs(5);

/// The message of a call, and of its answer.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
struct Message {
    version: u32,
}

const MESSAGE: Message = Message {
    version: wire::VERSION,
};

/// Returns an answer that leaves the connection open.
fn answer() -> Vec<u8> {
    let body = wire::encode(&MESSAGE).expect("encoded");
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    [head.into_bytes(), body].concat()
}

/// What a peer does with a request after it has read some of it.
#[derive(Clone, Copy, Debug)]
enum Peer {
    /// It reads the request and closes the connection.
    Closes,
    /// It leaves some of the request unread, so that closing resets the connection.
    Resets,
    /// It closes the connection within the answer.
    ClosesWithinAnswer,
}

impl Peer {
    fn handle(self, stream: &mut net::TcpStream) {
        let mut buf = [0; 4_096];
        let length = match self {
            Self::Resets => 10,
            Self::Closes | Self::ClosesWithinAnswer => buf.len(),
        };
        let read = stream.read(&mut buf[..length]).expect("a request");
        assert!(read > 0, "the connection was closed");
        if matches!(self, Self::ClosesWithinAnswer) {
            stream.write_all(&answer()[..20]).expect("answered");
        }
    }
}

/// Starts a peer that answers a number of calls before one that fails; returns its address.
fn start(peer: Peer, answered: usize) -> String {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound").to_string();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        for _ in 0..answered {
            let mut buf = [0; 4_096];
            let read = stream.read(&mut buf).expect("a request");
            assert!(read > 0, "the connection was closed");
            stream.write_all(&answer()).expect("answered");
        }
        peer.handle(&mut stream);
    });
    address
}

async fn call(client: &awc::Client, address: &str) -> Result<Message, outgoing::CallError> {
    outgoing::post(client, address, "/call", &MESSAGE, LIMIT).await
}

/// Guards against a task that runs twice because an order counts as unsent that its runner has read.
#[rstest]
#[case::new_connection(0)]
#[case::kept_connection(1)]
#[actix_rt::test]
async fn request_that_the_peer_has_read_does_not_count_as_unsent(
    #[values(Peer::Closes, Peer::Resets, Peer::ClosesWithinAnswer)] peer: Peer,
    #[case] answered: usize,
) {
    let address = start(peer, answered);
    let client = outgoing::client();
    for _ in 0..answered {
        let answered = call(&client, &address).await;
        assert_eq!(answered.expect("an answer"), MESSAGE);
    }

    let failed = call(&client, &address).await;

    assert!(
        matches!(failed, Err(outgoing::CallError::Lost(_))),
        "{failed:?}"
    );
}
