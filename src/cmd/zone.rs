//! `zone`: availability zones out of service and back.

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

'out' and 'in' put the file 99-zone-ZONE.toml into the folder in force and wait until
every process that 'status' finds has it, unless --no-wait is given.
";

/// Start and end of the names of this command's files; they come late in the order of
/// names, so that they settle the matter.
const FILE_PREFIX: &str = "99-zone-";
const FILE_SUFFIX: &str = ".toml";

/// Whether a file is one of those that this command writes.
pub fn is_zone_file(name: &str) -> bool {
    name.starts_with(FILE_PREFIX) && name.ends_with(FILE_SUFFIX)
}

/// Runs `zone`.
pub fn run(argv: Vec<ffi::OsString>) -> cli::CliResult<()> {
    let usage = format!("{USAGE}{}", change::USAGE);
    let Some(mut args) = flags::start(argv, &usage)? else {
        return Ok(());
    };
    match args.subcommand()?.as_deref() {
        Some("out") => switch(args, true),
        Some("in") => switch(args, false),
        Some("list") => list(args),
        other => Err(cmd::unknown(other.unwrap_or_default().as_ref(), USAGE)),
    }
}

/// One availability zone to be taken out or brought back.
struct Switch {
    options: change::Options,
    zone: SmolStr,
    out: bool,
}

impl Switch {
    fn parse(mut args: pico_args::Arguments, out: bool) -> cli::CliResult<Self> {
        Ok(Self {
            options: change::Options::take(&mut args, true)?,
            zone: ids::check_name(&flags::one(args, "availability zone")?)?,
            out,
        })
    }

    fn edit(&self) -> change::Edit {
        let Self { zone, out, .. } = self;
        // File names are in lower case, names of zones need not be.
        let stem = zone.to_ascii_lowercase();
        change::Edit {
            id: publish::random_id(),
            file: format_smolstr!("{FILE_PREFIX}{stem}{FILE_SUFFIX}"),
            text: Some(format!("[zones.{zone}]\nout = {out}\n")),
            base: None,
        }
    }
}

fn switch(args: pico_args::Arguments, out: bool) -> cli::CliResult<()> {
    let args = Switch::parse(args, out)?;
    let (outcome, is_out, is_known) = cmd::block_on(async {
        let mut editor = change::Editor::open(&args.options).await?;
        let edit = args.edit();
        check_other_zones(&editor, &edit, &args.zone)?;
        editor.apply(&edit).await?;
        let is_out = editor.state().settings().is_zone_out(&args.zone);
        let outcome = editor.finish().await?;
        let is_known = is_known(args.options.config.known_entries(), &args.zone).await;
        Ok::<_, cli::CliError>((outcome, is_out, is_known))
    })?;
    let printed = change::print(&outcome, &args.options);
    if !is_known {
        let zone = &args.zone;
        cli::out::note(format_args!(
            "no process is in an availability zone '{zone}'; 'zone list' shows all that are"
        ));
    }
    printed?;
    if is_out == args.out {
        return Ok(());
    }
    // An operator must not believe in a change that was accepted and has no effect.
    let text = "the change was accepted, but a file with a later name says otherwise";
    Err(cli::CliError::failed(codes::Code::SettingsConflict, text))
}

/// Whether a process that answers or is known to one that does is in the zone.
///
/// A mistyped name is accepted, since a zone may be out before its first process comes;
/// untold, the operator would believe that the zone that was meant is out.
async fn is_known(entries: &[SmolStr], zone: &str) -> bool {
    let processes = survey::survey(&client::Http::open(), entries).await;
    let is_in = |process: &survey::Process| process.zone == zone;
    !processes.iter().any(|process| process.answered) || processes.iter().any(is_in)
}

/// Refuses to replace a file that speaks of another availability zone.
///
/// Names of zones that differ in case only share a file; to put it for one would
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

/// One availability zone as it stands.
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
        let state = follow::in_force(&http, sources).await?;
        let processes = survey::survey(&http, sources.entries).await;
        Ok::<_, cli::CliError>((state, processes))
    })?;
    let zones = gather(&state, &processes);
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

/// The zones that the settings name and those that processes are in.
fn gather(state: &settings::State, processes: &[survey::Process]) -> Vec<Zone> {
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
