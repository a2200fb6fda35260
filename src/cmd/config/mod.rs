//! `config`: the settings folder, one file an action.

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

/// Every problem of a folder, also those that the first ones would hide.
///
/// Processes refuse a folder for its first class of problems, in which they all agree.
/// An operator wants the others as well: the files at fault are left out, and the rest
/// is checked again.
fn problems(folder: &cli::folder::Folder) -> Vec<problem::Problem> {
    let mut problems = folder.unread.clone();
    let mut files = folder.files.clone();
    while let Err(found) = settings_check::check_folder(&files) {
        let before = files.len();
        files.retain(|name, _text| found.iter().all(|problem| problem.file != *name));
        problems.extend(found);
        if files.len() == before {
            break;
        }
    }
    problems
}

/// Merges a folder; prints its problems and ends if there are any.
fn checked(folder: &cli::folder::Folder) -> cli::CliResult<merge::Merged> {
    if folder.unread.is_empty()
        && let Ok((_settings, merged)) = settings_check::merge_checked(&folder.files)
    {
        return Ok(merged);
    }
    let problems = problems(folder);
    for problem in &problems {
        cli::out::note(format_args!("{problem} ({})", problem.code.number()));
    }
    let first = problems.first().map(|problem| problem.code);
    Err(cli::CliError::Ended(
        first.unwrap_or(codes::Code::SettingsImpossible),
    ))
}
