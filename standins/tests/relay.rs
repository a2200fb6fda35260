//! Tests of the faults that a relay injects into connections.

use std::io;
use std::net;
use std::time;

use bulrushtiller_standins::relay;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// Time in which bytes pass a relay without a fault.
const PASS_LIMIT: time::Duration = time::Duration::from_secs(5);

/// A relay with one open connection: the client's end and the target's.
async fn connection() -> (relay::Relay, tokio::net::TcpStream, tokio::net::TcpStream) {
    let any_port = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let target = tokio::net::TcpListener::bind(any_port).await.unwrap();
    let to = target.local_addr().unwrap();
    let relay = relay::Relay::start(any_port, to).await.unwrap();
    let client = tokio::net::TcpStream::connect(relay.address())
        .await
        .unwrap();
    let (upstream, _) = target.accept().await.unwrap();
    (relay, client, upstream)
}

async fn read_one(stream: &mut tokio::net::TcpStream) -> io::Result<u8> {
    let reading = tokio::time::timeout(PASS_LIMIT, stream.read_u8());
    reading.await.expect("a byte or an error in time")
}

/// Guards against a reset that either end takes for an orderly end.
#[tokio::test]
async fn reset_reaches_both_ends_as_a_reset() {
    let (relay, mut client, mut upstream) = connection().await;
    client.write_u8(1).await.unwrap();
    read_one(&mut upstream).await.unwrap();

    relay.reset(1.0);

    for end in [&mut client, &mut upstream] {
        let err = read_one(end).await.unwrap_err();
        assert_eq!(err.kind(), io::ErrorKind::ConnectionReset);
    }
}

/// Guards against a reset of connections that are not among the share.
#[tokio::test]
async fn reset_of_no_share_leaves_connections_open() {
    let (relay, mut client, mut upstream) = connection().await;

    relay.reset(0.0);
    client.write_u8(7).await.unwrap();

    assert_eq!(read_one(&mut upstream).await.unwrap(), 7);
}

/// Guards against a lossy link that loses bytes for good or delivers them at once.
#[tokio::test]
async fn lost_chunk_arrives_after_its_retransmissions() {
    let (relay, mut client, mut upstream) = connection().await;
    relay.set(relay::Behaviour::Lossy { per_mille: 1_000 });
    let sent = time::Instant::now();

    client.write_u8(7).await.unwrap();
    let received = read_one(&mut upstream).await.unwrap();

    assert_eq!(received, 7);
    assert!(sent.elapsed() >= time::Duration::from_millis(200));
}
