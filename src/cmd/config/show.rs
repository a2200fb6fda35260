//! `config show`: shows the settings in force.

use std::collections;
use std::ffi;

use serde::Serialize;
use smol_str::SmolStr;

use crate::cli;
use crate::cli::flags;
use crate::client;
use crate::client::follow;
use crate::cmd;
use crate::codes;
use crate::settings;
use crate::settings::diff;
use crate::settings::merge;
use crate::settings::record;

const USAGE: &str = "
Shows the settings in force: the merged files of the folder, key by key, as TOML.

Usage:
    bulrushtiller config show [options]

They are read from the log or, if it is not available, from an entry.

Options:
    --file NAME     Show the text of one file instead
    --json          Print {\"revision\": N, \"files\": {...}, \"keys\": {...}}
";

struct Args {
    config: cli::Config,
    file: Option<SmolStr>,
    json: bool,
}

impl Args {
    fn parse(mut args: pico_args::Arguments) -> cli::CliResult<Self> {
        let parsed = Self {
            config: cli::Config::from_args(&mut args)?,
            file: flags::value(&mut args, "--file")?,
            json: args.contains("--json"),
        };
        flags::finish(args)?;
        Ok(parsed)
    }
}

#[derive(Serialize)]
struct Report<'a> {
    revision: Option<u64>,
    files: &'a merge::Files,
    keys: collections::BTreeMap<SmolStr, String>,
}

/// Runs `config show`.
pub fn run(argv: Vec<ffi::OsString>) -> cli::CliResult<()> {
    let Some(args) = flags::arguments_or_help(argv, USAGE)? else {
        return Ok(());
    };
    let args = Args::parse(args)?;
    let sources = args.config.sources()?;
    let state = cmd::block_on(async {
        let http = client::Http::open();
        follow::read_settings(&http, sources).await
    })?;
    match &args.file {
        Some(name) => show_file(&state, name, args.json),
        None => show_all(&state, args.json),
    }
}

fn show_file(state: &settings::State, name: &SmolStr, json: bool) -> cli::CliResult<()> {
    let Some(text) = state.files().get(name) else {
        let text = format!("no file {name} is in force");
        return Err(cli::CliError::failed(codes::Code::SettingsNoFile, text));
    };
    if json {
        let revision = state.revision();
        let report = serde_json::json!({ "revision": revision, "file": name, "text": text });
        return cli::out::json(&report);
    }
    cli::out::print(text)
}

fn show_all(state: &settings::State, json: bool) -> cli::CliResult<()> {
    let keys = diff::flatten(state.merged());
    if json {
        let revision = state.revision();
        let files = state.files();
        return cli::out::json(&Report {
            revision,
            files,
            keys,
        });
    }
    let revision = record::show_revision(state.revision());
    cli::out::line(format_args!("# revision {revision}"))?;
    for name in state.files().keys() {
        cli::out::line(format_args!("# file {name}"))?;
    }
    for (key, value) in keys {
        cli::out::line(format_args!("{key} = {value}"))?;
    }
    Ok(())
}
