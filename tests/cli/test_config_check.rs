//! `config check`.

use rstest::rstest;

use super::workdir;

#[test]
fn a_good_folder_is_good() {
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
fn each_problem_has_its_number_and_line(
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
fn a_folder_that_is_not_there_is_told() {
    let dir = workdir::Workdir::new();

    let run = dir.run(&["config", "check", "none"]);

    assert_eq!(run.status, 7, "{run:?}");
    assert!(run.stderr.contains("603: none"), "{run:?}");
}
