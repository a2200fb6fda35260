//! `config diff`: compares a folder with the settings in force.

use std::collections;
use std::ffi;
use std::path;

use serde::Serialize;
use smol_str::SmolStr;

use crate::cli;
use crate::cli::flags;
use crate::client;
use crate::client::follow;
use crate::cmd;
use crate::cmd::answer;
use crate::codes;
use crate::settings;
use crate::settings::diff;
use crate::settings::merge;
use crate::settings::record;

const USAGE: &str = "
Compares a folder with the settings in force, by file and by key.

Usage:
    bulrushtiller config diff FOLDER [options]

The settings in force are read from the log or, if it is not available, from an entry.

Options:
    --check         Exit with status 1 (606) unless they are equal
    --json          Print {\"equal\": ..., \"revision\": N, \"files\": {...}, \"keys\": [...]}
";

struct Args {
    config: cli::Config,
    folder: path::PathBuf,
    check: bool,
    json: bool,
}

impl Args {
    fn parse(mut args: pico_args::Arguments) -> cli::CliResult<Self> {
        Ok(Self {
            config: cli::Config::from_args(&mut args)?,
            check: args.contains("--check"),
            json: args.contains("--json"),
            folder: flags::single_positional(args, "folder")?.into(),
        })
    }
}

/// Change that `sync` would make to a file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FileChange {
    /// The file is in the folder and not in force.
    Add,
    /// The file is in force with a different text.
    Replace,
    /// The file is in force and not in the folder.
    Remove,
}

#[derive(Serialize)]
struct Report {
    equal: bool,
    revision: Option<u64>,
    files: collections::BTreeMap<SmolStr, FileChange>,
    keys: Vec<diff::KeyChange>,
}

/// Runs `config diff`.
pub fn run(argv: Vec<ffi::OsString>) -> cli::CliResult<()> {
    let Some(args) = flags::arguments_or_help(argv, USAGE)? else {
        return Ok(());
    };
    let args = Args::parse(args)?;
    let folder = cli::folder::read(&args.folder)?;
    let merged = cmd::config::checked(&folder)?;
    let sources = args.config.sources()?;
    let state = cmd::block_on(async {
        let http = client::Http::open();
        follow::read_settings(&http, sources).await
    })?;
    let report = compare(&state, &folder.files, &merged);
    if args.json {
        cli::out::json(&report)?;
    } else {
        print_text(&report)?;
    }
    if args.check && !report.equal {
        return answer::exit_result(codes::Code::Differs);
    }
    Ok(())
}

fn compare(state: &settings::State, files: &merge::Files, merged: &merge::Merged) -> Report {
    let changes = file_changes(state.files(), files);
    Report {
        equal: changes.is_empty(),
        revision: state.revision(),
        files: changes,
        keys: diff::diff(state.merged(), merged),
    }
}

/// Returns the changes that turn the files of `old` into those of `new`.
pub fn file_changes(
    old: &merge::Files,
    new: &merge::Files,
) -> collections::BTreeMap<SmolStr, FileChange> {
    let added_or_replaced = new.iter().filter_map(|(name, text)| {
        let change = match old.get(name) {
            None => FileChange::Add,
            Some(old) if old != text => FileChange::Replace,
            Some(_same) => return None,
        };
        Some((name.clone(), change))
    });
    let removed = old.keys().filter(|name| !new.contains_key(*name));
    added_or_replaced
        .chain(removed.map(|name| (name.clone(), FileChange::Remove)))
        .collect()
}

fn print_text(report: &Report) -> cli::CliResult<()> {
    let revision = record::show_revision(report.revision);
    if report.equal {
        return cli::out::line(format_args!("equal to revision {revision}"));
    }
    cli::out::line(format_args!("against revision {revision}"))?;
    for (name, change) in &report.files {
        let sign = match change {
            FileChange::Add => '+',
            FileChange::Replace => '~',
            FileChange::Remove => '-',
        };
        cli::out::line(format_args!("{sign} {name}"))?;
    }
    for key in &report.keys {
        cli::out::line(format_args!("    {key}"))?;
    }
    Ok(())
}
