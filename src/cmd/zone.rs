//! `zone`: takes availability zones out of service and brings them back.

use std::collections;
use std::ffi;

use serde::Serialize;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use crate::cli;
use crate::cli::flags;
use crate::client;
use crate::client::follow;
use crate::client::publish;
use crate::client::survey;
use crate::cmd;
use crate::cmd::change;
use crate::codes;
use crate::ids;
use crate::settings;

const USAGE: &str = "
Takes availability zones out of service and brings them back.

Usage:
    bulrushtiller zone out ZONE [options]
    bulrushtiller zone in ZONE [options]
    bulrushtiller zone list [--json]

'out' and 'in' put the file 99-zone-ZONE.toml into the folder in force and wait until it
is in force at every process that 'status' finds, unless --no-wait is given.
";

/// Prefix and suffix of the names of this command's files.
///
/// Later files override earlier ones; the prefix sorts these after most others.
const FILE_PREFIX: &str = "99-zone-";
const FILE_SUFFIX: &str = ".toml";

/// Whether a file has a name that this command uses.
pub fn is_zone_file(name: &str) -> bool {
    name.starts_with(FILE_PREFIX) && name.ends_with(FILE_SUFFIX)
}

/// Runs `zone`.
pub fn run(argv: Vec<ffi::OsString>) -> cli::CliResult<()> {
    let usage = format!("{USAGE}{}", change::USAGE);
    let Some(mut args) = flags::arguments_or_help(argv, &usage)? else {
        return Ok(());
    };
    match args.subcommand()?.as_deref() {
        Some("out") => change_service(args, true),
        Some("in") => change_service(args, false),
        Some("list") => list(args),
        other => Err(cmd::unknown(other.unwrap_or_default().as_ref(), USAGE)),
    }
}

/// Parsed command line of `zone out` and `zone in`.
struct Args {
    options: change::Options,
    zone: SmolStr,
    out: bool,
}

impl Args {
    fn parse(mut args: pico_args::Arguments, out: bool) -> cli::CliResult<Self> {
        Ok(Self {
            options: change::Options::from_args(&mut args, true)?,
            zone: ids::check_name(&flags::single_positional(args, "availability zone")?)?,
            out,
        })
    }

    fn edit(&self) -> change::Edit {
        let Self { zone, out, .. } = self;
        // File names must be in lower case, names of zones need not be.
        let stem = zone.to_ascii_lowercase();
        change::Edit {
            id: publish::random_id(),
            file: format_smolstr!("{FILE_PREFIX}{stem}{FILE_SUFFIX}"),
            text: Some(format!("[zones.{zone}]\nout = {out}\n")),
            base: None,
        }
    }
}

fn change_service(args: pico_args::Arguments, out: bool) -> cli::CliResult<()> {
    let args = Args::parse(args, out)?;
    let (outcome, is_out, is_known) = cmd::block_on(async {
        let mut editor = change::Editor::open(&args.options).await?;
        let edit = args.edit();
        check_other_zones(&editor, &edit, &args.zone)?;
        editor.apply(&edit).await?;
        let is_out = editor.state().settings().is_zone_out(&args.zone);
        let outcome = editor.finish().await?;
        let is_known = is_known(args.options.config.entries_or_empty(), &args.zone).await;
        Ok::<_, cli::CliError>((outcome, is_out, is_known))
    })?;
    let printed = change::print(&outcome, &args.options);
    if !is_known {
        let zone = &args.zone;
        cli::out::note(format_args!(
            "no process is in an availability zone '{zone}'; see 'zone list' for the existing zones"
        ));
    }
    printed?;
    if is_out == args.out {
        return Ok(());
    }
    // The change was accepted but has no effect, which the operator must notice.
    let text = "the change was accepted, but a file with a later name overrides it";
    Err(cli::CliError::failed(codes::Code::SettingsConflict, text))
}

/// Whether a process that answers, or that is reported by one, is in the zone; also `true` if no
/// process answers.
///
/// A mistyped name is accepted, since a zone may be taken out before its first process
/// starts. The operator must be warned, or would believe that the intended zone is out.
async fn is_known(entries: &[SmolStr], zone: &str) -> bool {
    let processes = survey::survey(&client::Http::open(), entries).await;
    let is_in = |process: &survey::Process| process.zone == zone;
    !processes.iter().any(|process| process.answered) || processes.iter().any(is_in)
}

/// Fails if the edit would replace a file about another availability zone.
///
/// Zones whose names differ only in case share a file. Replacing it for one zone would
/// silently bring the other back into service.
fn check_other_zones(
    editor: &change::Editor<'_>,
    edit: &change::Edit,
    zone: &str,
) -> cli::CliResult<()> {
    let old = editor.state().files().get(&edit.file).cloned();
    let files = old
        .map(|text| (edit.file.clone(), text))
        .into_iter()
        .collect();
    let zones = settings::check_folder(&files).unwrap_or_default().zones;
    match zones.keys().find(|name| *name != zone) {
        None => Ok(()),
        Some(other) => {
            let text = format!("{} is about the availability zone {other}", edit.file);
            Err(cli::CliError::failed(codes::Code::SettingsConflict, text))
        }
    }
}

/// State of one availability zone.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
struct Zone {
    zone: SmolStr,
    out: bool,
    entries: usize,
    runners: usize,
    busy: u32,
    slots: u32,
}

fn list(args: pico_args::Arguments) -> cli::CliResult<()> {
    let args = cmd::ShowArgs::parse(args)?;
    let sources = args.config.sources()?;
    let (state, processes) = cmd::block_on(async {
        let http = client::Http::open();
        let state = follow::read_settings(&http, sources).await?;
        let processes = survey::survey(&http, sources.entries).await;
        Ok::<_, cli::CliError>((state, processes))
    })?;
    let zones = summarize(&state, &processes);
    if args.json {
        return cli::out::json(&zones);
    }
    let mut table = cli::out::Table::new(&["zone", "service", "entries", "runners", "busy"]);
    for zone in &zones {
        table.row(vec![
            zone.zone.to_string(),
            if zone.out { "out" } else { "in" }.to_owned(),
            zone.entries.to_string(),
            zone.runners.to_string(),
            format!("{}/{}", zone.busy, zone.slots),
        ]);
    }
    cli::out::print(&table.to_string())
}

/// Returns the zones in the settings and those of the processes, by name.
fn summarize(state: &settings::State, processes: &[survey::Process]) -> Vec<Zone> {
    let mut zones: collections::BTreeMap<SmolStr, Zone> = collections::BTreeMap::new();
    for name in state.settings().zones.keys() {
        zones.entry(name.clone()).or_default();
    }
    for process in processes.iter().filter(|process| !process.zone.is_empty()) {
        let zone = zones.entry(process.zone.clone()).or_default();
        match process.role.as_str() {
            "entry" => zone.entries += 1,
            _ => zone.runners += 1,
        }
        zone.busy += process.busy.unwrap_or(0);
        zone.slots += process.slots.unwrap_or(0);
    }
    for (name, zone) in &mut zones {
        zone.zone = name.clone();
        zone.out = state.settings().is_zone_out(name);
    }
    zones.into_values().collect()
}
