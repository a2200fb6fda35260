//! Structured logging: JSON lines with stable event names, written through log4rs.

pub mod bounded;

use std::panic;
use std::process;

use log4rs::append;
use log4rs::config as log_config;
use log4rs::encode::json;

use crate::config;

quick_error! {
    /// Error of starting the logger.
    #[derive(Debug)]
    pub enum TelemetryError {
        /// The log file cannot be opened.
        File(err: std::io::Error) {
            from()
            display("cannot open the log output: {err}")
            source(err)
        }
        /// The logging library rejected the configuration.
        Setup(why: String) {
            display("cannot initialize logging: {why}")
        }
    }
}

/// Log target of this crate.
const CRATE_TARGET: &str = env!("CARGO_CRATE_NAME");

/// Log target of the platform adapter crate.
const PLATFORM_TARGET: &str = "bulrushtiller_platform";

/// Maximum log level of libraries, whose more detailed lines would crowd out this
/// program's and have no event names.
const LIBRARY_LEVEL: log::LevelFilter = log::LevelFilter::Warn;

/// Aborts the whole process when any thread panics.
///
/// A process that lost its control thread would still serve some routes but do no work:
/// callers would wait and peers would consider it slow. The exit of a process is detected,
/// and callers get an answer for the submissions that it owned.
pub fn abort_on_panic() {
    let default_hook = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        default_hook(info);
        log::error!(event = "daemon.panic"; "{info}");
        log::logger().flush();
        process::abort();
    }));
}

/// Starts logging JSON lines to the configured file or to the standard error.
pub fn start(cfg: &config::Config) -> Result<(), TelemetryError> {
    let encoder = Box::new(json::JsonEncoder::new());
    let appender: Box<dyn append::Append> = match &cfg.log_file {
        Some(path) => Box::new(
            append::file::FileAppender::builder()
                .encoder(encoder)
                .build(path)?,
        ),
        None => Box::new(
            append::console::ConsoleAppender::builder()
                .target(append::console::Target::Stderr)
                .encoder(encoder)
                .build(),
        ),
    };
    install(appender, cfg.log_level)
}

/// Starts logging JSON lines to the standard output, rate-limited and non-blocking.
///
/// `name_task` returns the platform's name of a task, which lines about a run also carry.
pub fn start_stdout(name_task: bounded::NameTask) -> Result<(), TelemetryError> {
    let appender = bounded::Appender::start(name_task).map_err(TelemetryError::File)?;
    install(Box::new(appender), log::LevelFilter::Info)
}

fn install(
    appender: Box<dyn append::Append>,
    level: log::LevelFilter,
) -> Result<(), TelemetryError> {
    let appender = log_config::Appender::builder().build("lines", appender);
    let own = log_config::Logger::builder().build(CRATE_TARGET, level);
    let adapter = log_config::Logger::builder().build(PLATFORM_TARGET, level);
    let root = log_config::Root::builder()
        .appender("lines")
        .build(level.min(LIBRARY_LEVEL));
    let logging = log_config::Config::builder()
        .appender(appender)
        .logger(own)
        .logger(adapter)
        .build(root);
    let logging = logging.map_err(|e| TelemetryError::Setup(e.to_string()))?;
    log4rs::init_config(logging).map_err(|e| TelemetryError::Setup(e.to_string()))?;
    Ok(())
}
