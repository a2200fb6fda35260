//! Subcommands of the tool, one module each.

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
bulrushtiller, the command-line tool for callers and operators

Usage:
    bulrushtiller <command> [options]

Callers:
    submit      Submit a job or a single request and wait for its answer
    fetch       Get the answer to an earlier submission
    cancel      Cancel submissions

Operators:
    status      Show the entries and runners, and the settings in force at each
    config      Check, compare, show and change the settings
    zone        Take availability zones out of service and bring them back
    audit       Show the changes of the settings, their authors and results
    load        Put a load on the entries and print figures about the answers
    token       Hash a token for the settings

Exit status: 0 complete, 1 failed, 2 invalid command line, 3 not run, 4 may have run,
5 bad request, 6 settings not accepted, 7 the tool itself failed.

See 'bulrushtiller <command> --help' for the options of a command.
";

/// Runs the subcommand given on the command line.
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

/// Parsed command line of a subcommand with no options but the common ones and `--json`.
struct ShowArgs {
    config: cli::Config,
    json: bool,
}

impl ShowArgs {
    fn parse(mut args: pico_args::Arguments) -> cli::CliResult<Self> {
        let parsed = Self {
            config: cli::Config::from_args(&mut args)?,
            json: args.contains("--json"),
        };
        flags::finish(args)?;
        Ok(parsed)
    }
}

/// Returns the error for a missing or unknown subcommand.
fn unknown(name: &ffi::OsStr, usage: &str) -> cli::CliError {
    let name = name.to_string_lossy();
    let complaint = if name.is_empty() {
        "a command is required".to_owned()
    } else {
        format!("there is no command '{name}'")
    };
    cli::CliError::Usage(format!("{complaint}\n\n{}", usage.trim()))
}

/// Runs a future to completion on this thread, in a new actix system.
fn block_on<F: future::Future>(calls: F) -> F::Output {
    actix_rt::System::new().block_on(calls)
}
