//! Stand-in for the log service, as a process.

use std::io;
use std::process;

use bulrushtiller_standins::command;
use bulrushtiller_standins::log_service;

const USAGE: &str = "\
Usage: standin-log [options]

  --listen IP:PORT       default 127.0.0.1:0, a port from the OS
  --retention RECORDS    maximum records per stream; default unlimited
  --retention-ms MS      maximum age of records; default unlimited
  --append-ms MS         duration of an append; default 4
  --appends-per-s N      appends beyond this rate get 503; default 400
";

fn main() -> process::ExitCode {
    command::main(USAGE, read, run)
}

fn read(args: &mut pico_args::Arguments) -> Result<log_service::Options, pico_args::Error> {
    let mut options = log_service::Options::default();
    if let Some(listen) = args.opt_value_from_str("--listen")? {
        options.listen = listen;
    }
    if let Some(ms) = args.opt_value_from_str("--append-ms")? {
        options.append_ms = ms;
    }
    if let Some(count) = args.opt_value_from_str("--appends-per-s")? {
        options.appends_per_s = count;
    }
    options.retention.records = args.opt_value_from_str("--retention")?;
    options.retention.age_ms = args.opt_value_from_str("--retention-ms")?;
    Ok(options)
}

async fn run(options: log_service::Options) -> io::Result<()> {
    let service = log_service::LogService::start(options)?;
    command::print_address("listening", service.address())?;
    service.finished().await
}
