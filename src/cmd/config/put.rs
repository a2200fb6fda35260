//! `config put`: one file into the folder in force.

use std::ffi;
use std::path;

use smol_str::SmolStr;

use crate::cli;
use crate::cli::flags;
use crate::cmd::change;

const USAGE: &str = "
Puts one file into the folder in force, in place of the one of that name.

Usage:
    bulrushtiller config put FILE [options]

Says at which revision it was accepted, or why it was rejected, with file and line.

Options:
    --name N        Name within the folder (default: the file's own)
    --base REV      Make the change only if this revision is in force ('none': before
                    the first), so that of two racing operators exactly one wins
    --id ID         Id of the change, to repeat one whose end was not seen
";

fn parse(mut args: pico_args::Arguments) -> cli::CliResult<change::One> {
    let options = change::Options::take(&mut args, false)?;
    let name: Option<SmolStr> = flags::value(&mut args, "--name")?;
    let base = change::take_base(&mut args)?;
    let id = change::take_id(&mut args)?;
    let path = path::PathBuf::from(flags::one(args, "file")?);
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
    Ok(change::One { options, edit })
}

/// Runs `config put`.
pub fn run(argv: Vec<ffi::OsString>) -> cli::CliResult<()> {
    change::run_one(argv, USAGE, parse)
}
