//! `config remove`: removes one file from the folder in force.

use std::ffi;

use smol_str::SmolStr;

use crate::cli;
use crate::cli::flags;
use crate::cmd::change;

const USAGE: &str = "
Removes one file from the folder in force.

Usage:
    bulrushtiller config remove NAME [options]

Options:
    --base REV      Make the change only if this revision is in force
    --id ID         Id of the change, to repeat one whose result is unknown
";

fn parse(mut args: pico_args::Arguments) -> cli::CliResult<change::SingleChange> {
    let options = change::Options::from_args(&mut args, false)?;
    let base = change::parse_base(&mut args)?;
    let id = change::parse_id(&mut args)?;
    let edit = change::Edit {
        id,
        file: SmolStr::from(flags::single_positional(args, "file name")?),
        text: None,
        base,
    };
    Ok(change::SingleChange { options, edit })
}

/// Runs `config remove`.
pub fn run(argv: Vec<ffi::OsString>) -> cli::CliResult<()> {
    change::run_single(argv, USAGE, parse)
}
