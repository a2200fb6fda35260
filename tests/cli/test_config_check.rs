//! Tests of `config check`.

use std::fs;
use std::os::unix;

use rstest::rstest;

use super::workdir;

#[test]
fn valid_folder_has_no_problems() {
    let dir = workdir::Workdir::new();
    dir.create("good/10-teams.toml", "[teams.taipa]\nweight = 3\n");
    dir.create("good/20-policy.toml", "[policy]\nramp_ms = 2000\n");
    dir.create("good/notes.txt", "not settings");

    let run = dir.run(&["config", "check", "good"]);

    assert_eq!(
        (run.status, run.stdout.as_str()),
        (0, "2 files, no problems\n")
    );
}

#[rstest]
#[case::syntax("10-a.toml", "[policy\n", 500, 1)]
#[case::unknown_key("10-a.toml", "[policy]\n\nram_ms = 1\n", 501, 3)]
#[case::wrong_type("10-a.toml", "[policy]\nramp_ms = \"1\"\n", 502, 2)]
#[case::impossible("10-a.toml", "[teams.t]\nweight = 0\n", 503, 2)]
#[case::name("A.toml", "[policy]\n", 507, 0)]
fn problem_has_code_and_line(
    #[case] file: &str,
    #[case] text: &str,
    #[case] code: u16,
    #[case] line: u32,
) {
    let dir = workdir::Workdir::new();
    dir.create("good/05-good.toml", "[policy]\nramp_ms = 2000\n");
    dir.create(&format!("good/{file}"), text);

    let run = dir.run(&["config", "check", "good", "--json"]);

    let problem = &run.json()["problems"][0];
    assert_eq!(run.status, 6, "{run:?}");
    assert_eq!(
        (&problem["file"], &problem["line"]),
        (&file.into(), &line.into()),
        "{run:?}"
    );
    assert_eq!(problem["code"], code, "{run:?}");
}

#[test]
fn missing_folder_is_reported() {
    let dir = workdir::Workdir::new();

    let run = dir.run(&["config", "check", "none"]);

    assert_eq!(run.status, 7, "{run:?}");
    assert!(run.stderr.contains("603: none"), "{run:?}");
}

/// Guards against one invalid file hiding the problems of others: a file in Latin-1, a dangling
/// link or invalid TOML each stops the check of the whole folder, and an ignored link would
/// look like a removed file.
#[test]
fn invalid_files_do_not_hide_each_other() {
    let dir = workdir::Workdir::new();
    let latin = dir.create("bad/10-latin.toml", "");
    fs::write(latin, b"[policy]\n# cami\xf3n\nramp_ms = 1\n").unwrap();
    let link = dir.create("bad/20-link.toml", "");
    fs::remove_file(&link).unwrap();
    unix::fs::symlink("nowhere", &link).unwrap();
    dir.create("bad/30-syntax.toml", "[policy\n");
    dir.create("bad/40-key.toml", "[policy]\nram_ms = 1\n");
    dir.create("bad/50-type.toml", "[limits]\nmax_job_tasks = \"x\"\n");

    let run = dir.run(&["config", "check", "bad", "--json"]);

    let report = run.json();
    let problems = report["problems"].as_array().unwrap();
    let found = problems.iter().map(|problem| {
        let (file, line) = (&problem["file"], &problem["line"]);
        format!("{}:{line} {}", file.as_str().unwrap(), problem["code"])
    });
    let found: Vec<_> = found.collect();
    assert_eq!((run.status, &report["files"]), (6, &5.into()), "{run:?}");
    assert_eq!(
        found,
        [
            "10-latin.toml:2 500",
            "20-link.toml:0 603",
            "30-syntax.toml:1 500",
            "40-key.toml:2 501",
            "50-type.toml:2 502",
        ]
    );
}

/// Guards against `sync` silently removing keys in force: a dangling link in place of a file
/// that is in force would look like a removed file if it were ignored.
#[test]
fn sync_rejects_folder_with_unreadable_file() {
    let dir = workdir::Workdir::new();
    dir.create("folder/10-a.toml", "[policy]\nramp_ms = 2000\n");
    let link = dir.create("folder/20-teams.toml", "");
    fs::remove_file(&link).unwrap();
    unix::fs::symlink("nowhere", &link).unwrap();

    let run = dir.run(&["config", "sync", "folder", "--log", workdir::UNUSED_ADDRESS]);

    assert_eq!(run.status, 7, "{run:?}");
    assert!(run.stderr.contains("20-teams.toml: No such"), "{run:?}");
}
