use std::any;
use std::io::Write as _;
use std::net;

use actix_web::dev;
use bulrushtiller::hangup;
use rstest::rstest;

/// What a caller does after it has sent its whole request.
#[derive(Clone, Copy, Debug)]
enum CallerAction {
    Waits,
    SendsMore,
    Closes,
    Resets,
}

/// Returns the server side of a connection on which a request was received, and the caller's
/// side if it is still open.
async fn connection(action: CallerAction) -> (hangup::Hangup, Option<net::TcpStream>) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a listener");
    let address = listener.local_addr().expect("an address");
    let mut caller = net::TcpStream::connect(address).expect("connected");
    let (stream, _) = listener.accept().await.expect("accepted");
    caller.write_all(b"request").expect("sent");
    read(&stream, b"request".len()).await;
    let mut data = dev::Extensions::new();
    hangup::Hangup::attach(&stream as &dyn any::Any, &mut data);
    let caller = perform(caller, action);
    let hangup = data
        .get::<hangup::Hangup>()
        .expect("a hang-up handle is attached")
        .clone();
    (hangup, caller)
}

async fn read(stream: &tokio::net::TcpStream, bytes: usize) {
    let mut buf = vec![0; bytes];
    let mut received = 0;
    while received < bytes {
        stream.readable().await.expect("readable");
        received += stream.try_read(&mut buf[received..]).unwrap_or(0);
    }
}

fn perform(mut caller: net::TcpStream, action: CallerAction) -> Option<net::TcpStream> {
    match action {
        CallerAction::Waits => return Some(caller),
        CallerAction::SendsMore => {
            caller.write_all(b"next").expect("sent");
            return Some(caller);
        }
        CallerAction::Closes => {}
        CallerAction::Resets => {
            // With a linger time of zero, closing the socket sends a reset.
            let socket =
                rustix::net::sockopt::set_socket_linger(&caller, Some(std::time::Duration::ZERO));
            socket.expect("the linger time is set");
        }
    }
    None
}

/// Guards against tasks that run twice at the same time. A kept connection is reset while the
/// caller sends a request on it. The entry receives the request and the reset together, while
/// the caller considers the request unsent and repeats it at another entry. The first entry
/// must detect the closed connection before it starts any task.
#[rstest]
#[case::waits(CallerAction::Waits, false)]
#[case::sends_the_next_request(CallerAction::SendsMore, false)]
#[case::closes(CallerAction::Closes, true)]
#[case::resets(CallerAction::Resets, true)]
#[actix_rt::test]
async fn closed_connection_is_detected_after_its_request_was_received(
    #[case] action: CallerAction,
    #[case] expected: bool,
) {
    let (hangup, _caller) = connection(action).await;

    let is_closed = hangup.is_closed();

    assert_eq!(is_closed, expected);
}
