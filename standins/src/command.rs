//! Command-line handling shared by the binaries: options, address lines and exit statuses.

use std::future;
use std::io;
use std::io::Write as _;
use std::net;
use std::process;

/// Default listen address: loopback, with a port chosen by the operating system.
pub const ANY_PORT: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 0);

/// Exit status for an invalid command line.
const USAGE_STATUS: u8 = 2;

/// Parses the options with `read` and runs `run` to completion.
///
/// Prints `usage` on `--help` and, after the reason, on an invalid command line.
pub fn main<O, R, F>(
    usage: &str,
    read: fn(&mut pico_args::Arguments) -> Result<O, pico_args::Error>,
    run: R,
) -> process::ExitCode
where
    R: FnOnce(O) -> F,
    F: future::Future<Output = io::Result<()>>,
{
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{usage}");
        return process::ExitCode::SUCCESS;
    }
    let options = match read(&mut args) {
        Ok(options) => options,
        Err(err) => return usage_error(usage, &err.to_string()),
    };
    if let Some(extra) = args.finish().first() {
        return usage_error(usage, &format!("unexpected argument '{}'", extra.display()));
    }
    match actix_rt::System::new().block_on(run(options)) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err}");
            process::ExitCode::FAILURE
        }
    }
}

fn usage_error(usage: &str, reason: &str) -> process::ExitCode {
    eprint!("{reason}\n\n{usage}");
    process::ExitCode::from(USAGE_STATUS)
}

/// Prints `LABEL IP:PORT`, from which the parent process reads the port in use.
pub fn print_address(label: &str, address: net::SocketAddr) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "{label} {address}")?;
    out.flush()
}
