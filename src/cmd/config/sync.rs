//! `config sync`: the folder in force made equal to one on this machine.

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
Makes the folder in force equal to this one, one change a file.

Usage:
    bulrushtiller config sync FOLDER [options]

Each change is based on the one before, so that it stops when another operator makes
a change meanwhile; run it again then. The files of 'zone out' count like all others
unless --keep-zones is given.

Options:
    --keep-zones    Leave the files of 'zone out' and 'zone in' as they are
    --allow-empty   Let an empty folder remove everything
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
            options: change::Options::take(&mut args, false)?,
            keep_zones: args.contains("--keep-zones"),
            allow_empty: args.contains("--allow-empty"),
            folder: flags::one(args, "folder")?.into(),
        })
    }
}

/// Runs `config sync`.
pub fn run(argv: Vec<ffi::OsString>) -> cli::CliResult<()> {
    let usage = format!("{USAGE}{}", change::USAGE);
    let Some(args) = flags::start(argv, &usage)? else {
        return Ok(());
    };
    let args = Args::parse(args)?;
    let folder = cli::folder::read(&args.folder)?;
    cmd::config::checked(&folder)?;
    if folder.files.is_empty() && !args.allow_empty {
        let folder = args.folder.display();
        let text = format!("{folder} has no *.toml; --allow-empty removes everything");
        return Err(cli::CliError::Usage(text));
    }
    let outcome = cmd::block_on(sync(&args, folder.files))?;
    if outcome.changes.is_empty() {
        cli::out::note("the folder in force is equal already");
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
    let mut todo = diff::file_changes(editor.state().files(), &wanted);
    while let Some(edit) = next_edit(&editor, &todo, &wanted) {
        todo.remove(&edit.file);
        if !editor.apply(&edit).await? {
            break;
        }
    }
    editor.finish().await
}

/// The first change after which the folder still checks out, or else the first of all.
///
/// Two changes may be good only in one order, as when a limit and what it bounds both
/// grow; each of them has to be good by itself.
fn next_edit(
    editor: &change::Editor<'_>,
    todo: &collections::BTreeMap<smol_str::SmolStr, diff::FileChange>,
    wanted: &merge::Files,
) -> Option<change::Edit> {
    let base = Some(record::base_of(editor.state().revision()));
    let edits = todo.keys().map(|name| change::Edit {
        id: publish::random_id(),
        file: name.clone(),
        text: wanted.get(name).cloned(),
        base,
    });
    let mut edits = edits.collect::<Vec<_>>();
    let good =
        |edit: &change::Edit| matches!(editor.rehearse(edit), settings::Verdict::Accepted { .. });
    let place = edits.iter().position(good).unwrap_or(0);
    (place < edits.len()).then(|| edits.swap_remove(place))
}
