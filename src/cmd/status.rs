//! `status`: shows every process that can be found.

use std::ffi;

use crate::cli;
use crate::cli::flags;
use crate::client;
use crate::client::survey;
use crate::cmd;
use crate::codes;

const USAGE: &str = "
Shows every process that the given entries or their peers report.

Usage:
    bulrushtiller status [options]

Columns: role, name, availability zone, state, revision of the settings in force at the
process, slots in use, tasks waiting, tasks running, whether it may start tasks, and the
entry that decides while slots are scarce, as seen by each entry.

Options:
    --json          Print a JSON array, one object per process
";

/// Runs `status`.
pub fn run(argv: Vec<ffi::OsString>) -> cli::CliResult<()> {
    let Some(args) = flags::arguments_or_help(argv, USAGE)? else {
        return Ok(());
    };
    let args = cmd::ShowArgs::parse(args)?;
    let entries = args.config.entries()?;
    let processes = cmd::block_on(async {
        let http = client::Http::open();
        survey::survey(&http, entries).await
    });
    if args.json {
        cli::out::json(&processes)?;
    } else {
        cli::out::print(&render(&processes))?;
    }
    note_unanswered(&processes);
    if processes.iter().any(|process| process.answered) {
        return Ok(());
    }
    Err(cli::CliError::failed(
        codes::Code::Unreachable,
        "none of the given entries answers",
    ))
}

/// Prints the entries that do not answer, with the given addresses they may belong to.
fn note_unanswered(processes: &[survey::Process]) {
    for process in processes {
        if !process.perhaps_at.is_empty() {
            let name = process.display_name();
            let addresses = process.perhaps_at.join(", ");
            cli::out::note(format_args!(
                "{name} does not answer; it may have been given as {addresses}"
            ));
        }
    }
}

fn render(processes: &[survey::Process]) -> String {
    let heading = [
        "role", "name", "zone", "state", "revision", "busy", "queued", "running", "fresh", "leader",
    ];
    let mut table = cli::out::Table::new(&heading);
    for process in processes {
        table.row(row(process));
    }
    table.to_string()
}

fn row(process: &survey::Process) -> Vec<String> {
    let slots = process
        .busy
        .zip(process.slots)
        .filter(|(_, slots)| *slots > 0);
    let fresh = process.fresh.map(|fresh| if fresh { "yes" } else { "no" });
    vec![
        cli::out::cell(Some(&process.role).filter(|role| !role.is_empty())),
        process.display_name().to_string(),
        cli::out::cell(Some(&process.zone).filter(|zone| !zone.is_empty())),
        process.state.to_string(),
        cli::out::cell(process.revision),
        cli::out::cell(slots.map(|(busy, slots)| format!("{busy}/{slots}"))),
        cli::out::cell(process.queued),
        cli::out::cell(process.running),
        cli::out::cell(fresh),
        cli::out::cell(process.leader.as_ref()),
    ]
}
