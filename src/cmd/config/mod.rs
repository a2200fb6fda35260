//! `config`: the settings folder, one file an action.

use std::ffi;

use crate::cli;
use crate::cmd;
use crate::codes;
use crate::settings::check as settings_check;
use crate::settings::merge;

pub mod check;
pub mod diff;
pub mod put;
pub mod remove;
pub mod show;
pub mod sync;

const USAGE: &str = "
Checks, compares, shows and changes the settings.

Usage:
    bulrushtiller config <action> [options]

Actions:
    check FOLDER    Check a folder without calling anyone
    diff FOLDER     Compare a folder with what is in force
    show            Show what is in force
    put FILE        Put one file into the folder in force
    remove NAME     Remove one file from the folder in force
    sync FOLDER     Make the folder in force equal to this one

'bulrushtiller config <action> --help' tells more.
";

/// Runs the action that the command line names.
pub fn run(argv: Vec<ffi::OsString>) -> cli::CliResult<()> {
    let mut args = argv.into_iter();
    let name = args.next().unwrap_or_default();
    let rest = args.collect();
    match name.to_str() {
        Some("check") => check::run(rest),
        Some("diff") => diff::run(rest),
        Some("put") => put::run(rest),
        Some("remove") => remove::run(rest),
        Some("show") => show::run(rest),
        Some("sync") => sync::run(rest),
        Some("-h" | "--help" | "help") => cli::out::print(USAGE.trim_start()),
        _ => Err(cmd::unknown(&name, USAGE)),
    }
}

/// Merges a folder; prints its problems and ends if there are any.
fn checked(files: &merge::Files) -> cli::CliResult<merge::Merged> {
    let problems = match settings_check::merge_checked(files) {
        Ok((_settings, merged)) => return Ok(merged),
        Err(problems) => problems,
    };
    for problem in &problems {
        cli::out::note(format_args!("{problem} ({})", problem.code.number()));
    }
    let first = problems.first().map(|problem| problem.code);
    Err(cli::CliError::Ended(
        first.unwrap_or(codes::Code::SettingsImpossible),
    ))
}
