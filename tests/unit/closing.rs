//! Closing the ports of a stopping process.

use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use actix_web::web;
use bulrushtiller::closing;
use bulrushtiller::open_connections;

/// Time in which a request is answered.
const ANSWER_TIME: time::Duration = time::Duration::from_millis(200);

/// Time that a thread needs for counting a connection.
const COUNT_TIME: time::Duration = time::Duration::from_millis(100);

/// Maximum time from the last answer until the ports are closed.
const CLOSE_LIMIT: time::Duration = time::Duration::from_millis(500);

/// Events of a port.
#[derive(Clone, Debug, Default)]
struct Events {
    accepted: sync::Arc<atomic::AtomicUsize>,
    counted: sync::Arc<atomic::AtomicUsize>,
    received: sync::Arc<atomic::AtomicUsize>,
    answered: sync::Arc<atomic::AtomicUsize>,
}

/// Serves a port that needs [`COUNT_TIME`] for each connection and [`ANSWER_TIME`] for each request.
fn serve(
    open: &open_connections::OpenConnections,
    events: &Events,
) -> (net::SocketAddr, closing::Server) {
    let threads = closing::Threads::default();
    let (added_to, served) = (threads.clone(), events.clone());
    let factory = move || {
        added_to.add_current();
        let served = served.clone();
        let handler = move || {
            let served = served.clone();
            async move {
                served.received.fetch_add(1, atomic::Ordering::SeqCst);
                tokio::time::sleep(ANSWER_TIME).await;
                served.answered.fetch_add(1, atomic::Ordering::SeqCst);
                actix_web::HttpResponse::Ok().finish()
            }
        };
        actix_web::App::new().route("/", web::get().to(handler))
    };
    let (open, events) = (open.clone(), events.clone());
    let server = actix_web::HttpServer::new(factory)
        .workers(1)
        .disable_signals()
        .on_connect(move |_connection, data| {
            events.accepted.fetch_add(1, atomic::Ordering::SeqCst);
            thread::sleep(COUNT_TIME);
            open.attach(data);
            events.counted.fetch_add(1, atomic::Ordering::SeqCst);
        })
        .bind(("127.0.0.1", 0))
        .expect("port opened");
    let address = server.addrs()[0];
    let server = server.run();
    let handle = server.handle();
    actix_rt::spawn(server);
    (address, closing::Server::new(handle, threads))
}

async fn wait_for(count: &atomic::AtomicUsize) {
    while count.load(atomic::Ordering::SeqCst) == 0 {
        tokio::time::sleep(time::Duration::from_millis(1)).await;
    }
}

/// Sends a request, whose connection may be closed without an answer.
fn call(address: net::SocketAddr) -> actix_rt::task::JoinHandle<Option<u16>> {
    let request = awc::Client::new().get(format!("http://{address}/")).send();
    actix_rt::spawn(async move {
        let answer = request.await.ok();
        answer.map(|answer| answer.status().as_u16())
    })
}

/// Guards against a stop that ends up to a second after the last connection has closed.
#[actix_rt::test]
async fn ports_close_right_after_the_last_answer() {
    let open = open_connections::OpenConnections::default();
    let events = Events::default();
    let (address, server) = serve(&open, &events);
    let caller = call(address);
    wait_for(&events.received).await;
    let began = time::Instant::now();

    closing::close(&[server], &open).await;
    let took = began.elapsed();

    let answered = events.answered.load(atomic::Ordering::SeqCst);
    let status = caller.await.expect("caller task completes");
    assert_eq!((answered, status), (1, Some(200)), "closed after {took:?}");
    assert!(took < ANSWER_TIME + CLOSE_LIMIT, "{took:?}");
}

/// Guards against a stop that ends while a connection is accepted and not yet counted.
#[actix_rt::test]
async fn ports_close_after_every_accepted_connection_is_counted() {
    let open = open_connections::OpenConnections::default();
    let events = Events::default();
    let (address, server) = serve(&open, &events);
    let caller = call(address);
    wait_for(&events.accepted).await;

    closing::close(&[server], &open).await;

    let counted = events.counted.load(atomic::Ordering::SeqCst);
    caller.await.expect("caller task completes");
    assert_eq!((counted, open.count()), (1, 0));
}
