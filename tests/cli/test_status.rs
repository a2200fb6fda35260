//! `status`.

use bulrushtiller::codes;

use super::fake_entry;
use super::workdir;

#[actix_rt::test]
async fn shows_what_answers_and_what_is_only_named() {
    let behaviour = fake_entry::Behaviour::Answer(codes::Code::Complete);
    let entry = fake_entry::FakeEntry::start("e1", behaviour);
    let dir = workdir::Workdir::new();

    let run = dir
        .run_beside(&["status", "--entries", &entry.address()])
        .await;

    let rows: Vec<Vec<&str>> = run
        .stdout
        .lines()
        .map(|line| line.split_whitespace().collect())
        .collect();
    assert_eq!(run.status, 0, "{run:?}");
    assert_eq!(
        rows[1],
        [
            "entry", "e1", "Caxias", "alive", "7", "-", "3", "2", "yes", "e1"
        ]
    );
    assert_eq!(
        rows[2],
        [
            "runner", "runner-1", "Vacaria", "silent", "6", "4/8", "-", "-", "-", "-"
        ]
    );
}

/// An entry listens on two ports, one for callers and one for other processes, and is
/// given under one and named by its peers under the other. Shown twice, it would look
/// like two entries.
#[actix_rt::test]
async fn one_life_under_two_addresses_is_one_process() {
    let behaviour = fake_entry::Behaviour::Answer(codes::Code::Complete);
    let first_port = fake_entry::FakeEntry::start("e1", behaviour);
    let second_port = fake_entry::FakeEntry::start("e1", behaviour);
    let dir = workdir::Workdir::new();

    let entries = format!("{},{}", first_port.address(), second_port.address());
    let run = dir
        .run_beside(&["status", "--entries", &entries, "--json"])
        .await;

    assert_eq!(run.json().as_array().unwrap().len(), 2, "{run:?}");
}

/// An entry that has died is given by its callers' address and named by its peers with
/// the other one. Nobody can tell that the two are one, and two rows would have the
/// operator look for an entry that never was.
#[actix_rt::test]
async fn silent_entry_is_shown_once_and_its_given_address_told() {
    let behaviour = fake_entry::Behaviour::Answer(codes::Code::Complete);
    let peers_port = Some("127.0.0.1:7");
    let entry = fake_entry::FakeEntry::start_beside("e1", behaviour, peers_port);
    let dir = workdir::Workdir::new();

    let entries = format!("{},127.0.0.1:1", entry.address());
    let run = dir.run_beside(&["status", "--entries", &entries]).await;

    let silent = run.stdout.lines().filter(|line| line.contains("silent"));
    assert_eq!(run.status, 0, "{run:?}");
    assert_eq!(run.stdout.lines().count(), 4, "{run:?}");
    assert_eq!(silent.count(), 2, "{run:?}");
    assert!(
        run.stderr
            .contains("e2 does not answer; given as 127.0.0.1:1"),
        "{run:?}"
    );
}

#[test]
fn nobody_to_reach_is_shown_and_told() {
    let dir = workdir::Workdir::new();

    let run = dir.run(&["status", "--entries", workdir::NOBODY]);

    assert_eq!(run.status, 7, "{run:?}");
    assert!(run.stdout.contains("unreachable"), "{run:?}");
    assert!(
        run.stderr
            .contains("601: none of the given entries answers"),
        "{run:?}"
    );
}
