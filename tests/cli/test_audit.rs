//! Tests of `audit`.

use std::io;
use std::io::BufRead as _;
use std::process;

use bulrushtiller_standins::log_service;
use rstest::rstest;

use super::fake_log;
use super::workdir;

async fn log_with_two_changes(dir: &workdir::Workdir) -> log_service::LogService {
    let log = fake_log::start();
    let address = log.address().to_string();
    dir.create("good.toml", "[policy]\nramp_ms = 2000\n");
    for author in ["ana", "bruno"] {
        let name = format!("10-{author}.toml");
        let args = [
            "config",
            "put",
            "good.toml",
            "--name",
            &name,
            "--author",
            author,
        ];
        let run = dir
            .run_async(&[&args[..], &["--log", &address]].concat())
            .await;
        assert_eq!(run.status, 0, "{run:?}");
    }
    log
}

/// Reads one line on another thread, so that this one continues to serve calls.
async fn read_line(pipe: impl io::Read + Send + 'static) -> String {
    let line = actix_rt::task::spawn_blocking(move || {
        let mut line = String::new();
        io::BufReader::new(pipe).read_line(&mut line).unwrap();
        line
    });
    line.await.unwrap()
}

#[rstest]
#[case::all(&[], &["10-ana.toml", "10-bruno.toml"])]
#[case::file(&["--file", "10-ana.toml"], &["10-ana.toml"])]
#[case::author(&["--author", "bruno"], &["10-bruno.toml"])]
#[case::from(&["--from", "1"], &["10-bruno.toml"])]
#[case::accepted(&["--result", "accepted"], &["10-ana.toml", "10-bruno.toml"])]
#[case::rejected(&["--result", "rejected"], &[])]
#[actix_rt::test]
async fn filters_select_events(#[case] filter: &[&str], #[case] files: &[&str]) {
    let dir = workdir::Workdir::new();
    let log = log_with_two_changes(&dir).await;
    let address = log.address().to_string();

    let args = [&["audit", "--json", "--log", &address], filter].concat();
    let run = dir.run_async(&args).await;

    let lines = run
        .stdout
        .lines()
        .map(|line| serde_json::from_str(line).unwrap());
    let lines: Vec<serde_json::Value> = lines.collect();
    let found: Vec<&str> = lines
        .iter()
        .map(|line| line["file"].as_str().unwrap())
        .collect();
    assert_eq!(run.status, 0, "{run:?}");
    assert_eq!(found, files);
}

#[actix_rt::test]
async fn text_shows_author_file_and_changed_keys() {
    let dir = workdir::Workdir::new();
    let log = log_with_two_changes(&dir).await;
    let address = log.address().to_string();

    let run = dir.run_async(&["audit", "--log", &address]).await;

    assert!(
        run.stdout.contains("  ana  put 10-ana.toml  accepted\n"),
        "{run:?}"
    );
    assert!(
        run.stdout
            .contains("    policy.ramp_ms: (not set) -> 2000\n"),
        "{run:?}"
    );
}

/// Guards against `--follow` ending or missing changes when the log goes down and comes back:
/// the next change must be printed without a restart of the command.
#[actix_rt::test]
async fn follow_continues_after_log_outage() {
    let dir = workdir::Workdir::new();
    let log = log_with_two_changes(&dir).await;
    let address = log.address().to_string();
    let mut command = dir.command(&[
        "audit", "--follow", "--json", "--from", "2", "--log", &address,
    ]);
    command
        .stdout(process::Stdio::piped())
        .stderr(process::Stdio::piped());
    let mut child = command.spawn().unwrap();
    let stderr = child.stderr.take().unwrap();
    let stdout = child.stdout.take().unwrap();

    log.set_mode(log_service::Mode::Down);
    let stderr_line = read_line(stderr).await;
    log.set_mode(log_service::Mode::Up);
    let put = [
        "config",
        "put",
        "good.toml",
        "--name",
        "30-c.toml",
        "--log",
        &address,
    ];
    dir.run_async(&put).await;
    let line = read_line(stdout).await;
    child.kill().unwrap();
    child.wait().unwrap();

    assert!(stderr_line.contains("is not available"), "{stderr_line}");
    assert!(line.contains("30-c.toml"), "{line}");
}
