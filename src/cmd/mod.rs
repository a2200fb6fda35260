//! The tool's subcommands, one file each.

use std::ffi;
use std::future;

use crate::cli;
use crate::cli::flags;

pub mod answer;
pub mod audit;
pub mod cancel;
pub mod change;
pub mod config;
pub mod fetch;
pub mod load;
pub mod status;
pub mod submit;
pub mod token;
pub mod zone;

const USAGE: &str = "
bulrushtiller, the callers' and operators' tool

Usage:
    bulrushtiller <command> [options]

Callers:
    submit      Submit a job or a single request and wait for its answer
    fetch       Get the answer to a submission made before
    cancel      Cancel submissions

Operators:
    status      Show entries, runners and the settings in force at each
    config      Check, compare, show and change the settings
    zone        Take availability zones out of service and bring them back
    audit       Show who changed which settings, and what became of it
    load        Put a load on the entries and print what callers received
    token       Hash a token for the settings

Exit status: 0 complete, 1 failed, 2 wrong command line, 3 not run, 4 may have run,
5 bad request, 6 settings not accepted, 7 the tool could not do its work.

'bulrushtiller <command> --help' tells more.
";

/// Runs the subcommand that the command line names.
pub fn run(argv: Vec<ffi::OsString>) -> cli::CliResult<()> {
    let mut args = argv.into_iter();
    let name = args.next().unwrap_or_default();
    let rest = args.collect();
    match name.to_str() {
        Some("audit") => audit::run(rest),
        Some("cancel") => cancel::run(rest),
        Some("config") => config::run(rest),
        Some("fetch") => fetch::run(rest),
        Some("load") => load::run(rest),
        Some("status") => status::run(rest),
        Some("submit") => submit::run(rest),
        Some("token") => token::run(rest),
        Some("zone") => zone::run(rest),
        Some("-h" | "--help" | "help") => cli::out::print(USAGE.trim_start()),
        Some("-V" | "--version") => cli::out::line(env!("CARGO_PKG_VERSION")),
        _ => Err(unknown(&name, USAGE)),
    }
}

/// The command line of a subcommand that shows something and has no option of its own.
struct ShowArgs {
    config: cli::Config,
    json: bool,
}

impl ShowArgs {
    fn parse(mut args: pico_args::Arguments) -> cli::CliResult<Self> {
        let parsed = Self {
            config: cli::Config::take(&mut args)?,
            json: args.contains("--json"),
        };
        flags::finish(args)?;
        Ok(parsed)
    }
}

/// Complains about a subcommand.
fn unknown(name: &ffi::OsStr, usage: &str) -> cli::CliError {
    let name = name.to_string_lossy();
    let complaint = if name.is_empty() {
        "a command is needed".to_owned()
    } else {
        format!("there is no command '{name}'")
    };
    cli::CliError::Usage(format!("{complaint}\n\n{}", usage.trim()))
}

/// Runs the calls of a subcommand on this thread.
fn block_on<F: future::Future>(calls: F) -> F::Output {
    actix_rt::System::new().block_on(calls)
}
