//! `config diff`: a folder against what is in force.

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
Compares a folder with what is in force, by files and by keys.

Usage:
    bulrushtiller config diff FOLDER [options]

What is in force is read from the log or, when that is not available, from an entry.

Options:
    --check         End with status 1 (606) unless they are equal
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
            config: cli::Config::take(&mut args)?,
            check: args.contains("--check"),
            json: args.contains("--json"),
            folder: flags::one(args, "folder")?.into(),
        })
    }
}

/// What `sync` would do to a file.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FileChange {
    /// It is not in force yet.
    Add,
    /// It is in force with another text.
    Replace,
    /// It is in force and not in the folder.
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
    let Some(args) = flags::start(argv, USAGE)? else {
        return Ok(());
    };
    let args = Args::parse(args)?;
    let folder = cli::folder::read(&args.folder)?;
    let merged = cmd::config::checked(&folder)?;
    let sources = args.config.sources()?;
    let state = cmd::block_on(async {
        let http = client::Http::open();
        follow::in_force(&http, sources).await
    })?;
    let report = compare(&state, &folder.files, &merged);
    if args.json {
        cli::out::json(&report)?;
    } else {
        print_text(&report)?;
    }
    if args.check && !report.equal {
        return answer::end(codes::Code::Differs);
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

/// What it takes to come from one folder to another.
pub fn file_changes(
    old: &merge::Files,
    new: &merge::Files,
) -> collections::BTreeMap<SmolStr, FileChange> {
    let put = new.iter().filter_map(|(name, text)| {
        let change = match old.get(name) {
            None => FileChange::Add,
            Some(old) if old != text => FileChange::Replace,
            Some(_same) => return None,
        };
        Some((name.clone(), change))
    });
    let gone = old.keys().filter(|name| !new.contains_key(*name));
    put.chain(gone.map(|name| (name.clone(), FileChange::Remove)))
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
