//! `config sync`: makes the folder in force equal to one on this machine.

use std::collections;
use std::ffi;
use std::path;

use crate::cli;
use crate::cli::flags;
use crate::client::publish;
use crate::cmd;
use crate::cmd::change;
use crate::cmd::config::diff;
use crate::cmd::zone;
use crate::settings;
use crate::settings::merge;
use crate::settings::record;

const USAGE: &str = "
Makes the folder in force equal to this one, with one change per file.

Usage:
    bulrushtiller config sync FOLDER [options]

Each change is based on the previous one, so that the command stops if another operator
makes a change meanwhile; run it again then. The files of 'zone out' are treated like all
others unless --keep-zones is given.

Options:
    --keep-zones    Leave the files of 'zone out' and 'zone in' as they are
    --allow-empty   Allow an empty folder, which removes all files
";

struct Args {
    options: change::Options,
    keep_zones: bool,
    allow_empty: bool,
    folder: path::PathBuf,
}

impl Args {
    fn parse(mut args: pico_args::Arguments) -> cli::CliResult<Self> {
        Ok(Self {
            options: change::Options::from_args(&mut args, false)?,
            keep_zones: args.contains("--keep-zones"),
            allow_empty: args.contains("--allow-empty"),
            folder: flags::single_positional(args, "folder")?.into(),
        })
    }
}

/// Runs `config sync`.
pub fn run(argv: Vec<ffi::OsString>) -> cli::CliResult<()> {
    let usage = format!("{USAGE}{}", change::USAGE);
    let Some(args) = flags::arguments_or_help(argv, &usage)? else {
        return Ok(());
    };
    let args = Args::parse(args)?;
    let folder = cli::folder::read(&args.folder)?;
    cmd::config::checked(&folder)?;
    if folder.files.is_empty() && !args.allow_empty {
        let folder = args.folder.display();
        let text =
            format!("{folder} has no *.toml files; use --allow-empty to remove all files in force");
        return Err(cli::CliError::Usage(text));
    }
    let outcome = cmd::block_on(sync(&args, folder.files))?;
    if outcome.changes.is_empty() {
        cli::out::note("the folder in force is already equal");
    }
    change::print(&outcome, &args.options)
}

async fn sync(args: &Args, mut wanted: merge::Files) -> cli::CliResult<change::Outcome> {
    let mut editor = change::Editor::open(&args.options).await?;
    if args.keep_zones {
        wanted.retain(|name, _text| !zone::is_zone_file(name));
        let in_force = editor.state().files().iter();
        let kept = in_force.filter(|(name, _text)| zone::is_zone_file(name));
        wanted.extend(kept.map(|(name, text)| (name.clone(), text.clone())));
    }
    let mut pending = diff::file_changes(editor.state().files(), &wanted);
    while let Some(edit) = next_edit(&editor, &pending, &wanted) {
        pending.remove(&edit.file);
        if !editor.apply(&edit).await? {
            break;
        }
    }
    editor.finish().await
}

/// Returns the first pending change that would be accepted now, or else the first one.
///
/// Two changes may be valid in one order only, for example when a limit and the value that
/// it bounds both grow, and the settings must be valid after each change.
fn next_edit(
    editor: &change::Editor<'_>,
    pending: &collections::BTreeMap<smol_str::SmolStr, diff::FileChange>,
    wanted: &merge::Files,
) -> Option<change::Edit> {
    let base = Some(record::base_of(editor.state().revision()));
    let edits = pending.keys().map(|name| change::Edit {
        id: publish::random_id(),
        file: name.clone(),
        text: wanted.get(name).cloned(),
        base,
    });
    let mut edits = edits.collect::<Vec<_>>();
    let is_accepted =
        |edit: &change::Edit| matches!(editor.dry_run(edit), settings::Verdict::Accepted { .. });
    let index = edits.iter().position(is_accepted).unwrap_or(0);
    (index < edits.len()).then(|| edits.swap_remove(index))
}
