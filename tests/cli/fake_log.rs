//! Stand-in log service for tests.

use bulrushtiller_standins::log_service;

/// Starts a log service without append latency; needs a running actix system.
pub fn start() -> log_service::LogService {
    let options = log_service::Options {
        append_ms: 0,
        ..log_service::Options::default()
    };
    log_service::LogService::start(options).unwrap()
}
