//! What a stopping process waits for: open requests and connections.

use actix_web::dev;
use actix_web::http;
use actix_web::middleware;
use actix_web::test;
use actix_web::web;
use bulrushtiller::open_connections;
use bulrushtiller::open_requests;

/// Sends a request to a port, and returns whether a stop would have waited for it, and whether its
/// response closed the connection.
async fn request(
    open: &open_requests::OpenRequests,
    port: open_requests::OpenRequests,
) -> (bool, bool) {
    let (open, leaving) = (open.clone(), open.clone());
    let handler = move || {
        let is_idle = open.is_idle();
        async move { actix_web::HttpResponse::Ok().body(is_idle.to_string()) }
    };
    let app = actix_web::App::new()
        .app_data(web::Data::new(port))
        .wrap(middleware::from_fn(open_requests::track))
        .route("/", web::get().to(handler));
    let service = test::init_service(app).await;
    leaving.start_leaving();
    let response = test::call_service(&service, test::TestRequest::default().to_request()).await;
    let connection_type = response.response().head().connection_type();
    let body = test::read_body(response).await;
    (
        body == "false",
        connection_type == http::ConnectionType::Close,
    )
}

/// Guards against a stop that waits for a moment without any call of many peers, and against
/// connections that stay open meanwhile.
#[actix_rt::test]
async fn requests_without_delay_only_close_their_connections() {
    let open = open_requests::OpenRequests::default();

    let awaited = request(&open, open.clone()).await;
    let without_delay = request(&open, open.without_delay()).await;

    assert_eq!(awaited, (true, true));
    assert_eq!(without_delay, (false, true));
}

/// Guards against a log line of a stop that names connections which are closed.
#[actix_rt::test]
async fn connection_counts_until_it_is_closed() {
    let open = open_connections::OpenConnections::default();
    let mut connection = dev::Extensions::new();

    open.attach(&mut connection);
    let while_open = open.count();
    drop(connection);

    assert_eq!((while_open, open.count()), (1, 0));
}
