//! Tracks the open connections of a process for its stop.

use std::sync;
use std::sync::atomic;

use actix_web::dev;

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
}
