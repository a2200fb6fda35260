//! `config remove`: one file out of the folder in force.

use std::ffi;

use smol_str::SmolStr;

use crate::cli;
use crate::cli::flags;
use crate::cmd;
use crate::cmd::change;

const USAGE: &str = "
Removes one file from the folder in force.

Usage:
    bulrushtiller config remove NAME [options]

Options:
    --base REV      Make the change only if this revision is in force
    --id ID         Id of the change, to repeat one whose end was not seen
";

struct Args {
    options: change::Options,
    edit: change::Edit,
}

impl Args {
    fn parse(mut args: pico_args::Arguments) -> cli::CliResult<Self> {
        let options = change::Options::take(&mut args, false)?;
        let base = change::take_base(&mut args)?;
        let id = change::take_id(&mut args)?;
        let edit = change::Edit {
            id,
            file: SmolStr::from(flags::one(args, "file name")?),
            text: None,
            base,
        };
        Ok(Self { options, edit })
    }
}

/// Runs `config remove`.
pub fn run(argv: Vec<ffi::OsString>) -> cli::CliResult<()> {
    let usage = format!("{USAGE}{}", change::USAGE);
    let Some(args) = flags::start(argv, &usage)? else {
        return Ok(());
    };
    let args = Args::parse(args)?;
    let outcome = cmd::block_on(change::apply_one(&args.options, &args.edit))?;
    change::print(&outcome, &args.options)
}
