//! `config check`: checks a settings folder offline.

use std::ffi;
use std::path;

use serde::Serialize;

use crate::cli;
use crate::cli::flags;
use crate::cmd;
use crate::cmd::answer;
use crate::settings::problem;

const USAGE: &str = "
Checks a settings folder offline, by the same rules as every process.

Usage:
    bulrushtiller config check FOLDER [options]

Each problem is printed as FILE:LINE: REASON (CODE). Files with problems are left out
when the others are checked against each other.

Options:
    --json          Print {\"ok\": ..., \"files\": N, \"problems\": [...]}
";

struct Args {
    folder: path::PathBuf,
    json: bool,
}

impl Args {
    fn parse(mut args: pico_args::Arguments) -> cli::CliResult<Self> {
        Ok(Self {
            json: args.contains("--json"),
            folder: flags::single_positional(args, "folder")?.into(),
        })
    }
}

#[derive(Serialize)]
struct Report<'a> {
    ok: bool,
    files: usize,
    problems: &'a [problem::Problem],
}

/// Runs `config check`.
pub fn run(argv: Vec<ffi::OsString>) -> cli::CliResult<()> {
    let Some(args) = flags::arguments_or_help(argv, USAGE)? else {
        return Ok(());
    };
    let args = Args::parse(args)?;
    let folder = cli::folder::read(&args.folder)?;
    let files = folder.files.len() + folder.unreadable.len();
    let problems = cmd::config::problems(&folder);
    if args.json {
        let report = Report {
            ok: problems.is_empty(),
            files,
            problems: &problems,
        };
        cli::out::json(&report)?;
    } else {
        print_text(files, &problems)?;
    }
    let code = problems.first().map(|problem| problem.code);
    code.map_or(Ok(()), answer::exit_result)
}

fn print_text(files: usize, problems: &[problem::Problem]) -> cli::CliResult<()> {
    if problems.is_empty() {
        return cli::out::line(format_args!("{files} files, no problems"));
    }
    for problem in problems {
        cli::out::line(format_args!("{problem} ({})", problem.code.number()))?;
    }
    Ok(())
}
