//! `config put`: adds or replaces one file of the folder in force.

use std::ffi;
use std::path;

use smol_str::SmolStr;

use crate::cli;
use crate::cli::flags;
use crate::cmd::change;

const USAGE: &str = "
Adds one file to the folder in force, or replaces the file of that name.

Usage:
    bulrushtiller config put FILE [options]

Prints the revision at which it was accepted, or the reasons with file and line for
which it was rejected.

Options:
    --name N        Name within the folder (default: name of FILE)
    --base REV      Make the change only if this revision is in force ('none': no revision
                    yet), so that only one of two concurrent changes is accepted
    --id ID         Id of the change, to repeat one whose result is unknown
";

fn parse(mut args: pico_args::Arguments) -> cli::CliResult<change::SingleChange> {
    let options = change::Options::from_args(&mut args, false)?;
    let name: Option<SmolStr> = flags::value(&mut args, "--name")?;
    let base = change::parse_base(&mut args)?;
    let id = change::parse_id(&mut args)?;
    let path = path::PathBuf::from(flags::single_positional(args, "file")?);
    let file = match name {
        Some(name) => name,
        None => cli::folder::name(&path)?,
    };
    let text = Some(cli::folder::read_file(&path)?);
    let edit = change::Edit {
        id,
        file,
        text,
        base,
    };
    Ok(change::SingleChange { options, edit })
}

/// Runs `config put`.
pub fn run(argv: Vec<ffi::OsString>) -> cli::CliResult<()> {
    change::run_single(argv, USAGE, parse)
}
