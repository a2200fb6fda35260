//! Tracks the open HTTP requests of a process for its graceful stop.

use std::sync;
use std::sync::atomic;

use actix_web::body;
use actix_web::dev;
use actix_web::http;
use actix_web::middleware;
use actix_web::web;

/// Number of requests without a response yet, and whether the process is stopping.
#[derive(Clone, Debug, Default)]
pub struct OpenRequests {
    count: sync::Arc<atomic::AtomicUsize>,
    is_leaving: sync::Arc<atomic::AtomicBool>,
}

/// Counts one request as open until dropped, also if its future is cancelled.
struct OpenGuard(sync::Arc<atomic::AtomicUsize>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}

impl OpenRequests {
    /// Marks the process as stopping; from now on every response closes its connection.
    pub fn start_leaving(&self) {
        self.is_leaving.store(true, atomic::Ordering::SeqCst);
    }

    /// Returns a tracker for requests that delay no stop; their connections close like others.
    #[must_use]
    pub fn without_delay(&self) -> Self {
        Self {
            count: sync::Arc::default(),
            is_leaving: sync::Arc::clone(&self.is_leaving),
        }
    }

    /// Returns whether no request is open.
    ///
    /// An entry that forwarded a call to another entry has no open submission of its own,
    /// but must not exit before the caller has its response.
    pub fn is_idle(&self) -> bool {
        self.count.load(atomic::Ordering::SeqCst) == 0
    }

    fn begin(&self) -> OpenGuard {
        self.count.fetch_add(1, atomic::Ordering::SeqCst);
        OpenGuard(sync::Arc::clone(&self.count))
    }
}

/// Middleware that counts a request as open until its response is ready.
///
/// While the process is stopping, each response announces that its connection closes.
/// Otherwise a kept connection could close after its next request was sent, and the
/// sender could not tell that the request was not processed.
pub async fn track<B: body::MessageBody>(
    open_requests: web::Data<OpenRequests>,
    req: dev::ServiceRequest,
    next: middleware::Next<B>,
) -> Result<dev::ServiceResponse<B>, actix_web::Error> {
    let guard = open_requests.begin();
    let mut response = next.call(req).await?;
    if open_requests.is_leaving.load(atomic::Ordering::SeqCst) {
        let head = response.response_mut().head_mut();
        head.set_connection_type(http::ConnectionType::Close);
    }
    drop(guard);
    Ok(response)
}
