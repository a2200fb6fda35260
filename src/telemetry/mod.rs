//! Structured logs: JSON lines with stable event names, through log4rs.

pub mod bounded;

use std::panic;
use std::process;

use log4rs::append;
use log4rs::config as log_config;
use log4rs::encode::json;

use crate::config;

quick_error! {
    /// Why logging can't start.
    #[derive(Debug)]
    pub enum TelemetryError {
        /// The log file can't be opened.
        File(err: std::io::Error) {
            from()
            display("the log file can't be opened: {err}")
            source(err)
        }
        /// The logging library refuses.
        Setup(why: String) {
            display("logging can't start: {why}")
        }
    }
}

/// This program's own lines.
const OWN: &str = env!("CARGO_CRATE_NAME");

/// Those of adapters to where it runs.
const ADAPTER: &str = "bulrushtiller_platform";

/// Level from which on the libraries' own lines are written: below it they would bury
/// this program's, and they carry no event names.
const LIBRARIES: log::LevelFilter = log::LevelFilter::Warn;

/// Ends the whole process when a thread panics.
///
/// A process without its control thread still serves some pages and does nothing
/// more: its callers wait, and its peers take it for slow. One that is gone is known
/// to be gone, and what it owned is answered as such.
pub fn end_on_panic() {
    let usual = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        usual(info);
        log::error!(event = "daemon.panic"; "{info}");
        log::logger().flush();
        process::abort();
    }));
}

/// Starts the JSON lines: to a file, or to the standard error.
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

/// Starts the JSON lines on the standard output, in bounded volume and without waiting.
pub fn start_stdout() -> Result<(), TelemetryError> {
    let appender = bounded::Appender::start().map_err(TelemetryError::File)?;
    install(Box::new(appender), log::LevelFilter::Info)
}

fn install(
    appender: Box<dyn append::Append>,
    level: log::LevelFilter,
) -> Result<(), TelemetryError> {
    let appender = log_config::Appender::builder().build("lines", appender);
    let own = log_config::Logger::builder().build(OWN, level);
    let adapter = log_config::Logger::builder().build(ADAPTER, level);
    let root = log_config::Root::builder()
        .appender("lines")
        .build(level.min(LIBRARIES));
    let built = log_config::Config::builder()
        .appender(appender)
        .logger(own)
        .logger(adapter)
        .build(root);
    let built = built.map_err(|e| TelemetryError::Setup(e.to_string()))?;
    log4rs::init_config(built).map_err(|e| TelemetryError::Setup(e.to_string()))?;
    Ok(())
}
