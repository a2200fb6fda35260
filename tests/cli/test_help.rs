//! Tests of the help, of invalid command lines and of a closed output pipe.

use std::io::Read as _;
use std::process;

use rstest::rstest;

use super::workdir;

const EXIT_USAGE: i32 = 2;

#[rstest]
#[case::tool(&[])]
#[case::submit(&["submit"])]
#[case::fetch(&["fetch"])]
#[case::cancel(&["cancel"])]
#[case::status(&["status"])]
#[case::config(&["config"])]
#[case::check(&["config", "check"])]
#[case::diff(&["config", "diff"])]
#[case::show(&["config", "show"])]
#[case::put(&["config", "put"])]
#[case::remove(&["config", "remove"])]
#[case::sync(&["config", "sync"])]
#[case::zone(&["zone"])]
#[case::zone_out(&["zone", "out"])]
#[case::audit(&["audit"])]
#[case::load(&["load"])]
#[case::token(&["token"])]
fn every_command_has_help(#[case] command: &[&str]) {
    let dir = workdir::Workdir::new();
    let args = [command, &["--help"]].concat();

    let run = dir.run(&args);

    assert_eq!((run.status, run.stderr.as_str()), (0, ""));
    assert!(run.stdout.contains("Usage:\n    bulrushtiller"), "{run:?}");
}

#[rstest]
#[case::nothing(&[], "a command is required")]
#[case::command(&["sbumit"], "there is no command 'sbumit'")]
#[case::action(&["config", "psuh"], "there is no command 'psuh'")]
#[case::zone_action(&["zone", "off", "Caxias"], "there is no command 'off'")]
#[case::token_action(&["token", "mint"], "the only action is 'hash'")]
#[case::option(&["status", "--jsn"], "option --jsn is unknown")]
#[case::repeated(&["status", "--json", "--json"], "option --json is unknown, repeated")]
#[case::argument(&["status", "now"], "unexpected argument 'now'")]
#[case::missing_value(&["submit", "--tasks"], "--tasks")]
#[case::bad_number(&["submit", "--tasks", "many"], "--tasks: failed to parse 'many'")]
#[case::no_task(&["submit", "--tasks", "0"], "at least one task")]
#[case::two_tasks(&["submit", "--tasks", "2", "--request"], "exactly one task")]
#[case::long_deadline(&["submit", "--deadline-ms", "18446744073709551615"], "at most 86400000")]
#[case::bad_id(&["fetch", "no good"], "a submission id has")]
#[case::bad_ticket(&["fetch", "t:nobody"], "not a ticket")]
#[case::no_id(&["cancel"], "at least one submission id")]
#[case::no_folder(&["config", "check"], "exactly one folder")]
#[case::two_files(&["config", "put", "a.toml", "b.toml"], "exactly one file")]
#[case::bad_base(&["config", "put", "a.toml", "--base", "last"], "neither a revision nor 'none'")]
#[case::bad_zone(&["zone", "out", "a b"], "is not a name")]
#[case::wait_or_not(&["zone", "out", "a", "--wait", "--no-wait"], "exclude each other")]
#[case::bad_result(&["audit", "--result", "maybe"], "'maybe' is not")]
#[case::bad_mix(&["load", "--mix", "short=9..1"], "not a mix")]
#[case::bad_rate(&["load", "--rate", "NaN"], "--rate must be 0.001 to")]
fn invalid_command_line_is_reported(#[case] args: &[&str], #[case] message: &str) {
    let dir = workdir::Workdir::new();

    let run = dir.run(args);

    assert_eq!(
        (run.status, run.stdout.as_str()),
        (EXIT_USAGE, ""),
        "{run:?}"
    );
    assert!(run.stderr.starts_with("bulrushtiller: 600: "), "{run:?}");
    assert!(run.stderr.contains(message), "{run:?}");
}

/// Guards against a message or a panic when the output is piped into `head`, which closes the
/// pipe while the tool still writes: the write fails with EPIPE, which is not an error here.
#[test]
fn closed_output_pipe_is_not_an_error() {
    let dir = workdir::Workdir::new();
    let keys: Vec<String> = (0..3000)
        .map(|n| {
            format!(
                "unknown_{n} = 1
"
            )
        })
        .collect();
    dir.create("bad/10-a.toml", &keys.concat());
    let mut command = dir.command(&["config", "check", "bad"]);
    command
        .stdout(process::Stdio::piped())
        .stderr(process::Stdio::piped());

    let mut child = command.spawn().unwrap();
    let mut first = [0];
    child.stdout.take().unwrap().read_exact(&mut first).unwrap();
    let output = child.wait_with_output().unwrap();

    assert_eq!(output.status.code(), Some(0));
    assert_eq!(String::from_utf8_lossy(&output.stderr), "");
}

/// Returns the commands in the help of the tool, in order.
fn commands(help: &str) -> Vec<String> {
    let after = help.split("Callers:").nth(1).unwrap();
    let listed = after.split("Exit status").next().unwrap();
    let lines = listed.lines().filter(|line| line.starts_with("    "));
    let words = lines.filter_map(|line| line.split_whitespace().next());
    words.map(str::to_owned).collect()
}

#[test]
fn page_documents_every_command() {
    const PAGE: &str = include_str!("../../docs/TOOL.md");
    let dir = workdir::Workdir::new();

    let help = dir.run(&["--help"]).stdout;

    let commands = commands(&help);
    let is_missing = |name: &&String| !PAGE.contains(&format!("`bulrushtiller {name}"));
    assert!(commands.len() >= 9, "{commands:?}");
    assert_eq!(commands.iter().find(is_missing), None);
}
