//! Tracks the open connections of a process for its stop.

use std::sync;
use std::sync::atomic;
use std::time;

use actix_web::dev;

/// Interval at which a stopping process checks whether its connections are closed.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Number of connections that the servers of a process have open.
#[derive(Clone, Debug, Default)]
pub struct OpenConnections(sync::Arc<atomic::AtomicUsize>);

/// Counts one connection as open until the data of the connection is dropped with it.
struct OpenGuard(sync::Arc<atomic::AtomicUsize>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}

impl OpenConnections {
    /// Counts a new connection, given its data, until it is closed.
    pub fn attach(&self, data: &mut dev::Extensions) {
        self.0.fetch_add(1, atomic::Ordering::SeqCst);
        data.insert(OpenGuard(sync::Arc::clone(&self.0)));
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.0.load(atomic::Ordering::SeqCst)
    }

    /// Waits until no connection is open.
    ///
    /// The HTTP library checks for this only once a second while it stops.
    pub async fn closed(&self) {
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            if self.count() == 0 {
                return;
            }
        }
    }
}
