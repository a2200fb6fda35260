//! What the thin binaries share: options, the ready line and exit statuses.

use std::future;
use std::io;
use std::io::Write as _;
use std::net;
use std::process;

/// Where a stand-in listens when nothing else is said: a port from the OS.
pub const ANY_PORT: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 0);

/// Exit status after a wrong command line.
const USAGE_STATUS: u8 = 2;

/// Reads the options and runs until `run` ends.
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
        Err(err) => return wrong(usage, &err.to_string()),
    };
    if let Some(extra) = args.finish().first() {
        return wrong(usage, &format!("unexpected '{}'", extra.display()));
    }
    match actix_rt::System::new().block_on(run(options)) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err}");
            process::ExitCode::FAILURE
        }
    }
}

fn wrong(usage: &str, reason: &str) -> process::ExitCode {
    eprint!("{reason}\n\n{usage}");
    process::ExitCode::from(USAGE_STATUS)
}

/// Prints `WORD IP:PORT`, from which whoever started the process learns a port.
pub fn announce(word: &str, address: net::SocketAddr) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "{word} {address}")?;
    out.flush()
}
