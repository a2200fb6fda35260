//! `config`: checks, compares, shows and changes the settings; one module per action.

use std::ffi;

use crate::cli;
use crate::cmd;
use crate::codes;
use crate::settings::check as settings_check;
use crate::settings::merge;
use crate::settings::problem;

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
    check FOLDER    Check a folder offline
    diff FOLDER     Compare a folder with the settings in force
    show            Show the settings in force
    put FILE        Add or replace one file of the folder in force
    remove NAME     Remove one file from the folder in force
    sync FOLDER     Make the folder in force equal to this one

See 'bulrushtiller config <action> --help' for the options of an action.
";

/// Runs the action given on the command line.
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

/// Returns all problems of a folder, including those that the first ones would hide.
///
/// A process rejects a folder with the first class of problems only, so that all processes
/// agree on the reason. To report the other classes as well, the files with problems are
/// left out and the rest is checked again.
fn problems(folder: &cli::folder::Folder) -> Vec<problem::Problem> {
    let mut problems = folder.unreadable.clone();
    let mut files = folder.files.clone();
    while let Err(found) = settings_check::check_folder(&files) {
        let count_before = files.len();
        files.retain(|name, _text| found.iter().all(|problem| problem.file != *name));
        problems.extend(found);
        if files.len() == count_before {
            break;
        }
    }
    problems
}

/// Merges a folder; prints its problems and fails if there are any.
fn checked(folder: &cli::folder::Folder) -> cli::CliResult<merge::Merged> {
    if folder.unreadable.is_empty()
        && let Ok((_settings, merged)) = settings_check::merge_checked(&folder.files)
    {
        return Ok(merged);
    }
    let problems = problems(folder);
    for problem in &problems {
        cli::out::note(format_args!("{problem} ({})", problem.code.number()));
    }
    let first = problems.first().map(|problem| problem.code);
    Err(cli::CliError::Reported(
        first.unwrap_or(codes::Code::SettingsImpossible),
    ))
}
