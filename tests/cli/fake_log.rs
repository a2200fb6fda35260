//! The stand-in log service beside a test.

use bulrushtiller_standins::log_service;

/// Starts a log whose appends take no time; needs a running actix system.
pub fn start() -> log_service::LogService {
    let options = log_service::Options {
        append_ms: 0,
        ..log_service::Options::default()
    };
    log_service::LogService::start(options).unwrap()
}
