use std::any;
use std::io::Write as _;
use std::net;

use actix_web::dev;
use bulrushtiller::hangup;
use rstest::rstest;

/// What a caller does after its whole request is on the way.
#[derive(Clone, Copy, Debug)]
enum Then {
    Waits,
    SendsMore,
    Closes,
    Breaks,
}

/// A watched connection whose caller sent a request, and the caller's end while it is open.
async fn connection(then: Then) -> (hangup::Hangup, Option<net::TcpStream>) {
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
    let caller = leave(caller, then);
    let hangup = data.get::<hangup::Hangup>().expect("watched").clone();
    (hangup, caller)
}

async fn read(stream: &tokio::net::TcpStream, bytes: usize) {
    let mut buf = vec![0; bytes];
    let mut have = 0;
    while have < bytes {
        stream.readable().await.expect("readable");
        have += stream.try_read(&mut buf[have..]).unwrap_or(0);
    }
}

fn leave(mut caller: net::TcpStream, then: Then) -> Option<net::TcpStream> {
    match then {
        Then::Waits => return Some(caller),
        Then::SendsMore => {
            caller.write_all(b"next").expect("sent");
            return Some(caller);
        }
        Then::Closes => {}
        Then::Breaks => {
            // Without lingering, closing sends a reset.
            let socket =
                rustix::net::sockopt::set_socket_linger(&caller, Some(std::time::Duration::ZERO));
            socket.expect("set");
        }
    }
    None
}

/// A caller's kept connection is reset in the moment in which it sends a request. The entry
/// gets the request and the reset together; the caller, which takes the request for unsent,
/// sends it at once on a new connection, to another entry. Both entries start its tasks, and
/// they run twice at once. The first one has to see that nobody waits before it starts any.
#[rstest]
#[case::waits(Then::Waits, false)]
#[case::sends_the_next_request(Then::SendsMore, false)]
#[case::closes(Then::Closes, true)]
#[case::breaks(Then::Breaks, true)]
#[actix_rt::test]
async fn a_caller_that_left_before_its_job_begins_is_noticed(
    #[case] then: Then,
    #[case] has_left: bool,
) {
    let (hangup, _caller) = connection(then).await;

    let is_closed = hangup.is_closed();

    assert_eq!(is_closed, has_left);
}
