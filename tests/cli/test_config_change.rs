//! Tests of `config put|remove|sync|show|diff` against a log service.

use std::net;

use bulrushtiller_standins::log_service;
use bulrushtiller_standins::relay;

use super::fake_log;
use super::workdir;

const VALID: &str = "[policy]\nramp_ms = 2000\n";

/// Working directory with a valid and an invalid settings file, and a log service.
struct Fixture {
    dir: workdir::Workdir,
    log: log_service::LogService,
}

impl Fixture {
    fn start() -> Self {
        let dir = workdir::Workdir::new();
        dir.create("good.toml", VALID);
        dir.create("bad.toml", "[policy]\nramp_ms = true\n");
        Self {
            dir,
            log: fake_log::start(),
        }
    }

    async fn config(&self, args: &[&str]) -> workdir::Run {
        let address = self.log.address().to_string();
        self.dir
            .run_async(&[&["config"], args, &["--log", &address]].concat())
            .await
    }
}

#[actix_rt::test]
async fn valid_file_is_accepted_and_in_force() {
    let fixture = Fixture::start();

    let put = fixture.config(&["put", "good.toml"]).await;
    let show = fixture.config(&["show"]).await;
    let file = fixture.config(&["show", "--file", "good.toml"]).await;

    assert_eq!(put.status, 0, "{put:?}");
    assert!(
        put.stdout
            .starts_with("good.toml: accepted at revision 0\n"),
        "{put:?}"
    );
    assert_eq!(
        show.stdout,
        "# revision 0\n# file good.toml\npolicy.ramp_ms = 2000\n"
    );
    assert_eq!(file.stdout, VALID);
}

#[actix_rt::test]
async fn invalid_file_is_rejected_with_line_and_not_published() {
    let fixture = Fixture::start();

    let run = fixture.config(&["put", "bad.toml"]).await;

    assert_eq!(run.status, 6, "{run:?}");
    assert!(
        run.stdout.contains("refused before it was published: 502"),
        "{run:?}"
    );
    assert!(run.stdout.contains("bad.toml:2: "), "{run:?}");
    assert_eq!(fixture.log.report().appends, 0);
}

/// Guards against lost updates: two operators make a change based on the same revision, and the
/// second one would silently undo the first if it were accepted.
#[actix_rt::test]
async fn second_change_on_same_base_is_rejected() {
    let fixture = Fixture::start();

    let first = fixture
        .config(&["put", "good.toml", "--base", "none"])
        .await;
    let second = fixture
        .config(&["put", "good.toml", "--base", "none", "--json"])
        .await;

    assert_eq!(first.status, 0, "{first:?}");
    assert_eq!(second.status, 6, "{second:?}");
    assert_eq!(second.json()["changes"][0]["code"], 504);
}

/// Guards against a duplicate append when the log's answer is lost after the append took
/// effect: the change must be made once and be reported as accepted at its revision.
#[actix_rt::test]
async fn append_with_lost_answer_is_reported_as_accepted_once() {
    let fixture = Fixture::start();
    fixture.log.set_mode(log_service::Mode::LoseAnswers);

    let run = fixture.config(&["put", "good.toml"]).await;

    assert_eq!(run.status, 0, "{run:?}");
    assert!(run.stdout.contains("accepted at revision 0"), "{run:?}");
    assert_eq!(fixture.log.report().appends, 1);
}

/// Guards against a change being made twice when an operator repeats a command whose result is
/// unknown, with the id that it printed: the repeat must not overwrite later changes.
#[actix_rt::test]
async fn repeat_with_same_id_changes_nothing() {
    let fixture = Fixture::start();
    fixture
        .config(&["put", "good.toml", "--id", "change-1"])
        .await;
    fixture.config(&["remove", "good.toml"]).await;

    let run = fixture
        .config(&["put", "good.toml", "--id", "change-1", "--json"])
        .await;

    assert_eq!(run.json()["changes"][0]["result"], "repeated", "{run:?}");
    assert_eq!(run.json()["changes"][0]["revision"], 0);
    assert_eq!(fixture.log.report().appends, 2);
}

#[actix_rt::test]
async fn log_outage_is_reported_within_time_limit() {
    let fixture = Fixture::start();
    fixture.log.set_mode(log_service::Mode::Down);

    let run = fixture
        .config(&["put", "good.toml", "--limit-ms", "100"])
        .await;

    assert_eq!(run.status, 7, "{run:?}");
    assert!(run.stderr.starts_with("bulrushtiller: 604: "), "{run:?}");
}

#[actix_rt::test]
async fn sync_makes_folders_equal() {
    let fixture = Fixture::start();
    fixture
        .config(&["put", "good.toml", "--name", "90-old.toml"])
        .await;
    fixture.dir.create("folder/10-a.toml", VALID);
    fixture
        .dir
        .create("folder/20-b.toml", "[teams.taipa]\nweight = 2\n");

    let before = fixture.config(&["diff", "folder"]).await;
    let sync = fixture.config(&["sync", "folder"]).await;
    let after = fixture.config(&["diff", "folder"]).await;

    assert!(
        before
            .stdout
            .contains("+ 10-a.toml\n+ 20-b.toml\n- 90-old.toml"),
        "{before:?}"
    );
    assert_eq!(sync.status, 0, "{sync:?}");
    assert_eq!(after.stdout, "equal to revision 3\n");
}

#[actix_rt::test]
async fn diff_fails_on_differences_only_with_check() {
    let fixture = Fixture::start();
    fixture.dir.create("folder/10-a.toml", VALID);

    let plain = fixture.config(&["diff", "folder"]).await;
    let before = fixture
        .config(&["diff", "folder", "--check", "--json"])
        .await;
    fixture.config(&["sync", "folder"]).await;
    let after = fixture.config(&["diff", "folder", "--check"]).await;

    assert_eq!(plain.status, 0, "{plain:?}");
    assert_eq!(before.status, 1, "{before:?}");
    assert_eq!(before.json()["equal"], false, "{before:?}");
    assert_eq!(after.status, 0, "{after:?}");
}

#[actix_rt::test]
async fn sync_of_empty_folder_requires_allow_empty() {
    let fixture = Fixture::start();
    fixture.config(&["put", "good.toml"]).await;
    fixture.dir.create("empty/notes.txt", "");

    let refused = fixture.config(&["sync", "empty"]).await;
    let allowed = fixture.config(&["sync", "empty", "--allow-empty"]).await;

    assert_eq!(refused.status, 2, "{refused:?}");
    assert!(
        allowed.stdout.contains("good.toml: accepted at revision 1"),
        "{allowed:?}"
    );
}

#[actix_rt::test]
async fn remove_of_missing_file_is_rejected() {
    let fixture = Fixture::start();

    let run = fixture.config(&["remove", "good.toml"]).await;

    assert_eq!(run.status, 6, "{run:?}");
    assert!(run.stdout.contains("508"), "{run:?}");
}

/// Guards against a time-out of large settings on a slow link, after which an operator could
/// change nothing: a long answer is read as long as its chunks keep arriving.
#[actix_rt::test]
async fn large_settings_are_read_over_slow_link() {
    let fixture = Fixture::start();
    let large_text = "# notes of an operator about a limit\n".repeat(1_600) + VALID;
    fixture.dir.create("good.toml", &large_text);
    fixture.config(&["put", "good.toml"]).await;
    let listen = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let relay = relay::Relay::start(listen, fixture.log.address()).await;
    let relay = relay.expect("the relay starts");
    let bytes_per_s = 12 << 10;
    relay.set(relay::Behaviour::Pace { bytes_per_s });

    let address = relay.address().to_string();
    let show = ["config", "show", "--file", "good.toml", "--log", &address];
    let show = fixture.dir.run_async(&show).await;

    assert_eq!(
        (show.status, show.stdout),
        (0, large_text),
        "{}",
        show.stderr
    );
}
