//! `config put|remove|sync|show|diff` against a log.

use std::net;

use bulrushtiller_standins::log_service;
use bulrushtiller_standins::relay;

use super::fake_log;
use super::workdir;

const GOOD: &str = "[policy]\nramp_ms = 2000\n";

struct Bench {
    dir: workdir::Workdir,
    log: log_service::LogService,
}

impl Bench {
    fn start() -> Self {
        let dir = workdir::Workdir::new();
        dir.create("good.toml", GOOD);
        dir.create("bad.toml", "[policy]\nramp_ms = true\n");
        Self {
            dir,
            log: fake_log::start(),
        }
    }

    async fn config(&self, args: &[&str]) -> workdir::Run {
        let address = self.log.address().to_string();
        self.dir
            .run_beside(&[&["config"], args, &["--log", &address]].concat())
            .await
    }
}

#[actix_rt::test]
async fn a_good_file_is_accepted_and_in_force() {
    let bench = Bench::start();

    let put = bench.config(&["put", "good.toml"]).await;
    let show = bench.config(&["show"]).await;
    let file = bench.config(&["show", "--file", "good.toml"]).await;

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
    assert_eq!(file.stdout, GOOD);
}

#[actix_rt::test]
async fn a_bad_file_is_refused_with_its_line_and_not_published() {
    let bench = Bench::start();

    let run = bench.config(&["put", "bad.toml"]).await;

    assert_eq!(run.status, 6, "{run:?}");
    assert!(
        run.stdout.contains("refused before it was published: 502"),
        "{run:?}"
    );
    assert!(run.stdout.contains("bad.toml:2: "), "{run:?}");
    assert_eq!(bench.log.report().appends, 0);
}

/// Two operators start from the same revision. The first change is accepted; the second
/// names the revision it was made on and must be told, or it would undo the first
/// without either noticing.
#[actix_rt::test]
async fn the_second_of_two_racing_operators_is_told() {
    let bench = Bench::start();

    let first = bench.config(&["put", "good.toml", "--base", "none"]).await;
    let second = bench
        .config(&["put", "good.toml", "--base", "none", "--json"])
        .await;

    assert_eq!(first.status, 0, "{first:?}");
    assert_eq!(second.status, 6, "{second:?}");
    assert_eq!(second.json()["changes"][0]["code"], 504);
}

/// The log's answers are lost after the append took effect. The operator's change must
/// be reported as accepted once, at the revision it has, and not made twice.
#[actix_rt::test]
async fn a_lost_answer_to_an_append_is_found_on_the_log() {
    let bench = Bench::start();
    bench.log.set_mode(log_service::Mode::LoseAnswers);

    let run = bench.config(&["put", "good.toml"]).await;

    assert_eq!(run.status, 0, "{run:?}");
    assert!(run.stdout.contains("accepted at revision 0"), "{run:?}");
    assert_eq!(bench.log.report().appends, 1);
}

/// An operator repeats a command whose end was not seen, with the id that it printed.
/// The change had been made: it must not be made again over what came after it.
#[actix_rt::test]
async fn a_repeat_under_the_same_id_changes_nothing() {
    let bench = Bench::start();
    bench
        .config(&["put", "good.toml", "--id", "change-1"])
        .await;
    bench.config(&["remove", "good.toml"]).await;

    let run = bench
        .config(&["put", "good.toml", "--id", "change-1", "--json"])
        .await;

    assert_eq!(run.json()["changes"][0]["result"], "repeated", "{run:?}");
    assert_eq!(run.json()["changes"][0]["revision"], 0);
    assert_eq!(bench.log.report().appends, 2);
}

#[actix_rt::test]
async fn a_log_that_is_down_is_told_within_the_limit() {
    let bench = Bench::start();
    bench.log.set_mode(log_service::Mode::Down);

    let run = bench
        .config(&["put", "good.toml", "--limit-ms", "100"])
        .await;

    assert_eq!(run.status, 7, "{run:?}");
    assert!(run.stderr.starts_with("bulrushtiller: 604: "), "{run:?}");
}

#[actix_rt::test]
async fn sync_makes_the_folders_equal() {
    let bench = Bench::start();
    bench
        .config(&["put", "good.toml", "--name", "90-old.toml"])
        .await;
    bench.dir.create("folder/10-a.toml", GOOD);
    bench
        .dir
        .create("folder/20-b.toml", "[teams.taipa]\nweight = 2\n");

    let before = bench.config(&["diff", "folder"]).await;
    let sync = bench.config(&["sync", "folder"]).await;
    let after = bench.config(&["diff", "folder"]).await;

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
async fn diff_ends_with_another_status_only_when_asked() {
    let bench = Bench::start();
    bench.dir.create("folder/10-a.toml", GOOD);

    let plain = bench.config(&["diff", "folder"]).await;
    let before = bench.config(&["diff", "folder", "--check", "--json"]).await;
    bench.config(&["sync", "folder"]).await;
    let after = bench.config(&["diff", "folder", "--check"]).await;

    assert_eq!(plain.status, 0, "{plain:?}");
    assert_eq!(before.status, 1, "{before:?}");
    assert_eq!(before.json()["equal"], false, "{before:?}");
    assert_eq!(after.status, 0, "{after:?}");
}

#[actix_rt::test]
async fn sync_removes_everything_only_when_told() {
    let bench = Bench::start();
    bench.config(&["put", "good.toml"]).await;
    bench.dir.create("empty/notes.txt", "");

    let refused = bench.config(&["sync", "empty"]).await;
    let allowed = bench.config(&["sync", "empty", "--allow-empty"]).await;

    assert_eq!(refused.status, 2, "{refused:?}");
    assert!(
        allowed.stdout.contains("good.toml: accepted at revision 1"),
        "{allowed:?}"
    );
}

#[actix_rt::test]
async fn a_file_that_is_not_there_can_not_be_removed() {
    let bench = Bench::start();

    let run = bench.config(&["remove", "good.toml"]).await;

    assert_eq!(run.status, 6, "{run:?}");
    assert!(run.stdout.contains("508"), "{run:?}");
}

/// Guards against an operator who can change nothing over a way that carries little.
#[actix_rt::test]
async fn settings_that_take_long_on_their_way_are_read() {
    let bench = Bench::start();
    let noted = "# what operators note beside a limit\n".repeat(1_600) + GOOD;
    bench.dir.create("good.toml", &noted);
    bench.config(&["put", "good.toml"]).await;
    let near = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let relay = relay::Relay::start(near, bench.log.address()).await;
    let relay = relay.expect("a relay");
    let bytes_per_s = 12 << 10;
    relay.set(relay::Behaviour::Pace { bytes_per_s });

    let address = relay.address().to_string();
    let show = ["config", "show", "--file", "good.toml", "--log", &address];
    let show = bench.dir.run_beside(&show).await;

    assert_eq!((show.status, show.stdout), (0, noted), "{}", show.stderr);
}
