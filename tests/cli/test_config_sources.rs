//! Tests of the sources of the tool's configuration: flags, environment and file.

use rstest::rstest;

use super::fake_entry;
use super::workdir;

const CONFIG: &str = "entries = [\"ENTRY\"]\ntoken = \"from-file\"\n";

async fn token_used(args: &[&str], env: &[(&str, &str)]) -> String {
    let behaviour = fake_entry::Behaviour::Answer(bulrushtiller::codes::Code::Complete);
    let entry = fake_entry::FakeEntry::start("e1", behaviour);
    let dir = workdir::Workdir::new();
    dir.create("tool.toml", &CONFIG.replace("ENTRY", &entry.address()));
    let full_args = [&["fetch", "own-1", "--config", "tool.toml"], args].concat();
    let mut command = dir.command(&full_args);
    command.envs(env.iter().copied());

    let output = actix_rt::task::spawn_blocking(move || command.output());

    let run = workdir::Run::from(output.await.unwrap().unwrap());
    assert_eq!(run.status, 0, "{run:?}");
    entry.calls()[0].authorization.clone()
}

#[rstest]
#[case::file(&[], &[], "Bearer from-file")]
#[case::environment(&[], &[("BULRUSHTILLER_TOKEN", "from-env")], "Bearer from-env")]
#[case::flag(&["--token", "from-flag"], &[("BULRUSHTILLER_TOKEN", "from-env")], "Bearer from-flag")]
#[actix_rt::test]
async fn flags_override_environment_and_environment_overrides_file(
    #[case] args: &[&str],
    #[case] env: &[(&str, &str)],
    #[case] expected: &str,
) {
    let used = token_used(args, env).await;

    assert_eq!(used, expected);
}

#[rstest]
#[case::unknown_key("entires = []\n", 2, "unknown field `entires`")]
#[case::not_toml("entries = [\n", 2, "tool.toml")]
#[case::bad_address("entries = [\"localhost\"]\n", 2, "'localhost' is not HOST:PORT")]
fn invalid_file_is_reported(#[case] text: &str, #[case] status: i32, #[case] message: &str) {
    let dir = workdir::Workdir::new();
    dir.create("tool.toml", text);

    let run = dir.run(&["status", "--config", "tool.toml"]);

    assert_eq!(run.status, status, "{run:?}");
    assert!(run.stderr.contains(message), "{run:?}");
}

#[rstest]
#[case::file(&["status", "--config", "none.toml"], 7, "603: none.toml")]
#[case::entry(&["status"], 2, "600: an entry is required")]
#[case::token(&["submit", "--entries", workdir::UNUSED_ADDRESS], 2, "600: a token is required")]
#[case::log(&["audit"], 2, "600: the log's address is required")]
#[case::source(&["config", "show"], 2, "600: the log's address or an entry is required")]
fn missing_value_is_reported(#[case] args: &[&str], #[case] status: i32, #[case] message: &str) {
    let dir = workdir::Workdir::new();

    let run = dir.run(args);

    assert_eq!(run.status, status, "{run:?}");
    assert!(run.stderr.contains(message), "{run:?}");
}
