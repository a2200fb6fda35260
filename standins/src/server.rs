//! Single-threaded actix-web server that all stand-ins use.

use std::io;
use std::net;
use std::time;

use actix_web::dev;
use actix_web::http;
use actix_web::web;

/// Maximum size of a request body, in bytes.
pub const MAX_BODY_BYTES: usize = 1 << 20;

/// Time after which idle connections are closed.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Time that calls in progress get when the server stops, in seconds.
const SHUTDOWN_TIMEOUT_S: u64 = 1;

/// A server that runs until it is stopped or the process exits.
#[derive(Debug)]
pub struct Server {
    address: net::SocketAddr,
    handle: dev::ServerHandle,
    task: actix_rt::task::JoinHandle<io::Result<()>>,
}

impl Server {
    /// Binds the address and starts to serve. Requires a running actix system.
    ///
    /// Signal handlers are not installed, so SIGTERM ends a stand-in at once.
    pub fn start<C>(listen: net::SocketAddr, configure: C) -> io::Result<Self>
    where
        C: Fn(&mut web::ServiceConfig) + Clone + Send + 'static,
    {
        Self::start_with_idle_timeout(listen, IDLE_TIMEOUT, configure)
    }

    /// Like [`Server::start`], with the time after which idle connections are closed.
    pub fn start_with_idle_timeout<C>(
        listen: net::SocketAddr,
        idle: time::Duration,
        configure: C,
    ) -> io::Result<Self>
    where
        C: Fn(&mut web::ServiceConfig) + Clone + Send + 'static,
    {
        let app = move || {
            let limit = web::PayloadConfig::new(MAX_BODY_BYTES);
            actix_web::App::new()
                .app_data(limit)
                .configure(configure.clone())
        };
        let bound = actix_web::HttpServer::new(app)
            .workers(1)
            .keep_alive(idle)
            .disable_signals()
            .shutdown_timeout(SHUTDOWN_TIMEOUT_S)
            .bind(listen)?;
        let address = bound.addrs().first().copied().unwrap_or(listen);
        let running = bound.run();
        let handle = running.handle();
        let task = actix_rt::spawn(running);
        Ok(Self {
            address,
            handle,
            task,
        })
    }

    /// Returns the address that the server listens on.
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Stops listening and closes all open connections.
    pub async fn stop(self) {
        self.handle.stop(false).await;
    }

    /// Waits until the server has stopped.
    pub async fn finished(self) -> io::Result<()> {
        self.task.await.map_err(io::Error::other)?
    }
}

/// Builds an error response whose JSON body holds the reason.
pub(crate) fn json_error(status: http::StatusCode, reason: &str) -> actix_web::HttpResponse {
    let body = serde_json::json!({ "error": reason });
    actix_web::HttpResponse::build(status).json(body)
}

quick_error! {
    /// Invalid request body.
    #[derive(Debug)]
    pub enum BadBody {
        /// The body is not JSON or does not match the expected type.
        Json(err: serde_json::Error) {
            display("{err}")
            source(err)
            from()
        }
        /// The body is well-formed, but a value in it is invalid.
        Invalid(reason: &'static str) {
            display("{reason}")
        }
    }
}

impl actix_web::ResponseError for BadBody {
    fn status_code(&self) -> http::StatusCode {
        http::StatusCode::BAD_REQUEST
    }

    fn error_response(&self) -> actix_web::HttpResponse {
        json_error(self.status_code(), &self.to_string())
    }
}

/// Parses a body as JSON, whatever its content type.
pub(crate) fn read_json<T>(body: &[u8]) -> Result<T, BadBody>
where
    T: serde::de::DeserializeOwned,
{
    Ok(serde_json::from_slice(body)?)
}
