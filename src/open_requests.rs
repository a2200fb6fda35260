//! The requests in progress at the servers of a process, for its graceful stop.

use std::sync;
use std::sync::atomic;

use actix_web::body;
use actix_web::dev;
use actix_web::http;
use actix_web::middleware;
use actix_web::web;

/// Counts requests whose answer is not yet made, and knows whether the process stops.
#[derive(Clone, Debug, Default)]
pub struct OpenRequests {
    open: sync::Arc<atomic::AtomicUsize>,
    is_leaving: sync::Arc<atomic::AtomicBool>,
}

/// One request in progress, also while its caller is gone and its future dropped.
struct OpenGuard(sync::Arc<atomic::AtomicUsize>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}

impl OpenRequests {
    /// The process stops: from now on every answer closes its connection.
    pub fn leave(&self) {
        self.is_leaving.store(true, atomic::Ordering::SeqCst);
    }

    /// Whether no request is in progress.
    ///
    /// An entry that passed a caller's call on to another entry has nothing open of
    /// its own; were it to end by that alone, the caller's wait would be cut.
    pub fn is_idle(&self) -> bool {
        self.open.load(atomic::Ordering::SeqCst) == 0
    }

    fn begin(&self) -> OpenGuard {
        self.open.fetch_add(1, atomic::Ordering::SeqCst);
        OpenGuard(sync::Arc::clone(&self.open))
    }
}

/// Follows one request through the server.
///
/// While the process stops, an answer says that its connection ends. Kept
/// connections would be closed under the next request sent on them, whose sender
/// could not know that it was not run.
pub async fn track<B: body::MessageBody>(
    open_requests: web::Data<OpenRequests>,
    req: dev::ServiceRequest,
    next: middleware::Next<B>,
) -> Result<dev::ServiceResponse<B>, actix_web::Error> {
    let open = open_requests.begin();
    let mut response = next.call(req).await?;
    if open_requests.is_leaving.load(atomic::Ordering::SeqCst) {
        let head = response.response_mut().head_mut();
        head.set_connection_type(http::ConnectionType::Close);
    }
    drop(open);
    Ok(response)
}
