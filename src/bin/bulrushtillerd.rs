//! Daemon that runs as an entry or as the runner beside a backend server.

use std::process;

use bulrushtiller::codes;
use bulrushtiller::config;
use bulrushtiller::daemon;

fn main() -> process::ExitCode {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{}", daemon::USAGE);
        return process::ExitCode::SUCCESS;
    }
    if args.contains("--version") {
        println!("bulrushtillerd {}", env!("CARGO_PKG_VERSION"));
        return process::ExitCode::SUCCESS;
    }
    let result = config::RawConfig::from_args(args)
        .map_err(daemon::DaemonError::from)
        .and_then(daemon::run);
    match result {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(daemon::DaemonError::Config(e)) => {
            eprintln!("bulrushtillerd: {e}");
            exit_status(codes::Code::Usage)
        }
        Err(e) => {
            eprintln!("bulrushtillerd: {e}");
            exit_status(codes::Code::Io)
        }
    }
}

fn exit_status(code: codes::Code) -> process::ExitCode {
    process::ExitCode::from(u8::try_from(code.exit_status()).unwrap_or(1))
}
