//! Small stand-ins for what the platform provides, and a naive dispatcher to compare with;
//! used by tests, measurements and the demo only.
//!
//! Nothing here is part of the product: the crate does not depend on it, and no
//! release binary contains any of this.

#[macro_use]
extern crate quick_error;

pub mod command;
pub mod log_service;
pub mod naive;
pub mod platform;
pub mod processes;
pub mod relay;
pub mod server;
pub mod site;
pub mod worker;

use std::sync;

/// Locks, also after a panic of another holder: a test has failed then anyway.
fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
