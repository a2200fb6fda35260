//! Stand-ins for the services of the platform, and a naive dispatcher as a baseline.
//!
//! Tests, measurements and the demo use this crate. The product does not depend on it, and
//! no release binary contains any of it.

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

/// Locks a mutex and ignores poisoning: a panic in another thread has already failed the test.
fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
