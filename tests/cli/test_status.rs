//! Tests of `status`.

use bulrushtiller::codes;

use super::fake_entry;
use super::workdir;

#[actix_rt::test]
async fn answering_and_reported_processes_are_shown() {
    let behaviour = fake_entry::Behaviour::Answer(codes::Code::Complete);
    let entry = fake_entry::FakeEntry::start("e1", behaviour);
    let dir = workdir::Workdir::new();

    let run = dir
        .run_async(&["status", "--entries", &entry.address()])
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

/// Guards against an entry being listed twice: it listens on one port for callers, which is
/// given to the tool, and on another one for processes, which its peers report.
#[actix_rt::test]
async fn one_incarnation_at_two_addresses_is_one_process() {
    let behaviour = fake_entry::Behaviour::Answer(codes::Code::Complete);
    let first_port = fake_entry::FakeEntry::start("e1", behaviour);
    let second_port = fake_entry::FakeEntry::start("e1", behaviour);
    let dir = workdir::Workdir::new();

    let entries = format!("{},{}", first_port.address(), second_port.address());
    let run = dir
        .run_async(&["status", "--entries", &entries, "--json"])
        .await;

    assert_eq!(run.json().as_array().unwrap().len(), 2, "{run:?}");
}

/// Guards against a stopped entry being listed twice: it is given by its address for callers
/// and reported by its peers with the one for processes. No answer shows that both are one
/// process, and an operator would look for an entry that does not exist.
#[actix_rt::test]
async fn silent_entry_is_shown_once_with_its_given_address() {
    let behaviour = fake_entry::Behaviour::Answer(codes::Code::Complete);
    let peers_port = Some("127.0.0.1:7");
    let entry = fake_entry::FakeEntry::start_with_silent_entry("e1", behaviour, peers_port);
    let dir = workdir::Workdir::new();

    let entries = format!("{},127.0.0.1:1", entry.address());
    let run = dir.run_async(&["status", "--entries", &entries]).await;

    let silent = run.stdout.lines().filter(|line| line.contains("silent"));
    assert_eq!(run.status, 0, "{run:?}");
    assert_eq!(run.stdout.lines().count(), 4, "{run:?}");
    assert_eq!(silent.count(), 2, "{run:?}");
    assert!(
        run.stderr
            .contains("e2 does not answer; it may have been given as 127.0.0.1:1"),
        "{run:?}"
    );
}

#[test]
fn unreachable_entries_are_shown_and_reported() {
    let dir = workdir::Workdir::new();

    let run = dir.run(&["status", "--entries", workdir::UNUSED_ADDRESS]);

    assert_eq!(run.status, 7, "{run:?}");
    assert!(run.stdout.contains("unreachable"), "{run:?}");
    assert!(
        run.stderr
            .contains("601: none of the given entries answers"),
        "{run:?}"
    );
}
