//! An actix-web server on one thread, as all stand-ins use it.

use std::io;
use std::net;

use actix_web::dev;
use actix_web::http;
use actix_web::web;

/// Largest body that a stand-in reads, in bytes.
pub const MAX_BODY_BYTES: usize = 1 << 20;

/// Seconds that a stopping server gives to calls in progress.
const STOP_S: u64 = 1;

/// A server that runs until it is stopped or the process ends.
#[derive(Debug)]
pub struct Server {
    address: net::SocketAddr,
    handle: dev::ServerHandle,
    task: actix_rt::task::JoinHandle<io::Result<()>>,
}

impl Server {
    /// Listens and serves; needs a running actix system.
    ///
    /// Signals are left alone, so SIGTERM simply ends a stand-in.
    pub fn start<C>(listen: net::SocketAddr, configure: C) -> io::Result<Self>
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
            .disable_signals()
            .shutdown_timeout(STOP_S)
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

    /// Where it listens.
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Stops listening and closes what is open.
    pub async fn stop(self) {
        self.handle.stop(false).await;
    }

    /// Waits until the server has ended.
    pub async fn finished(self) -> io::Result<()> {
        self.task.await.map_err(io::Error::other)?
    }
}

/// An answer with a reason for people.
pub(crate) fn refusal(status: http::StatusCode, reason: &str) -> actix_web::HttpResponse {
    let body = serde_json::json!({ "error": reason });
    actix_web::HttpResponse::build(status).json(body)
}

quick_error! {
    /// A body that is not what the page describes.
    #[derive(Debug)]
    pub enum BadBody {
        /// Not JSON, or not of the expected form.
        Json(err: serde_json::Error) {
            display("{err}")
            source(err)
            from()
        }
        /// Well-formed, but impossible.
        Impossible(reason: &'static str) {
            display("{reason}")
        }
    }
}

impl actix_web::ResponseError for BadBody {
    fn status_code(&self) -> http::StatusCode {
        http::StatusCode::BAD_REQUEST
    }

    fn error_response(&self) -> actix_web::HttpResponse {
        refusal(self.status_code(), &self.to_string())
    }
}

/// Reads a JSON body of any content type.
pub(crate) fn read_json<T>(body: &[u8]) -> Result<T, BadBody>
where
    T: serde::de::DeserializeOwned,
{
    Ok(serde_json::from_slice(body)?)
}
