//! What operators read: log lines and metrics of real processes.

use std::collections;
use std::fs;

use bulrushtiller::codes;
use bulrushtiller_standins::processes;

use crate::raw;
use crate::rig;

/// The page whose lists are compared with what the processes write.
const OPERATIONS: &str = include_str!("../../docs/OPERATIONS.md");

/// Every line that a daemon has logged, as JSON.
fn lines(rig: &rig::Rig, daemon: &processes::Process) -> Vec<serde_json::Value> {
    lines_of(rig, daemon.name())
}

/// The same by its name.
pub fn lines_of(rig: &rig::Rig, daemon: &str) -> Vec<serde_json::Value> {
    let path = rig.site.folder().join(format!("{daemon}.jsonl"));
    let text = fs::read_to_string(path).expect("a log file");
    let parse = |line| serde_json::from_str(line).expect("a line of JSON");
    text.lines().map(parse).collect()
}

fn daemons(rig: &rig::Rig) -> impl Iterator<Item = &processes::Process> {
    rig.entries.iter().chain(&rig.runners)
}

fn all_lines(rig: &rig::Rig) -> Vec<serde_json::Value> {
    daemons(rig).flat_map(|one| lines(rig, one)).collect()
}

/// An attribute of a line; empty where it has none.
pub fn attribute<'a>(line: &'a serde_json::Value, name: &str) -> &'a str {
    line["attributes"][name].as_str().unwrap_or_default()
}

/// The events of the lines with this attribute.
fn events(lines: &[serde_json::Value], name: &str, value: &str) -> Vec<String> {
    let of_it = lines.iter().filter(|line| attribute(line, name) == value);
    let mut events: Vec<_> = of_it
        .map(|line| attribute(line, "event").to_owned())
        .collect();
    events.sort();
    events
}

#[test]
fn one_task_is_followed_across_processes() {
    let rig = rig::Rig::start(&rig::Plan::default());
    let payloads: Vec<String> = (0..3).map(|at| rig::sleep(20, &format!("{at}"))).collect();

    let answer = rig.submit(0, &rig::job(&payloads)).expect("an answer");

    let id = answer.submission.expect("an id").to_string();
    let lines = all_lines(&rig);
    let is_second = |line: &&serde_json::Value| {
        attribute(line, "event") == "task.dispatched"
            && attribute(line, "submission") == id
            && line["attributes"]["index"].to_string().trim_matches('"') == "1"
    };
    let second = lines.iter().find(is_second).expect("a dispatched line");
    let attempt = attribute(second, "attempt");
    let expected = ["task.answered", "task.dispatched", "task.end", "task.start"];
    assert_eq!(events(&lines, "attempt", attempt), expected);
    let of_submission = events(&lines, "submission", &id);
    let ended = of_submission
        .iter()
        .filter(|event| *event == "submission.ended");
    assert_eq!(ended.count(), 1);
    assert_eq!(of_submission.len(), 3 * 3 + 1);
}

fn attribute_lines(lines: &[serde_json::Value], name: &str, value: &str) -> usize {
    let of_it = lines.iter().filter(|line| attribute(line, name) == value);
    of_it.count()
}

/// Whether a text is `DUTY.EVENT`, by which a program can tell lines apart.
fn is_event(text: &str) -> bool {
    let is_word = |word: &str| {
        let mut letters = word.bytes();
        !word.is_empty() && letters.all(|b| b.is_ascii_lowercase() || b == b'_')
    };
    text.split_once('.')
        .is_some_and(|(duty, event)| is_word(duty) && is_word(event))
}

/// An alarm waits for an event by its name, so every line must have one; and whoever
/// reads the logs must not be able to speak for a team.
#[test]
fn lines_have_event_names_and_no_tokens() {
    let rig = rig::Rig::start(&rig::Plan::default());
    let wrong = raw::request("POST /v1/jobs", &raw::bearer("wrong-token"), b"{}");

    let answer = rig.submit(0, &rig::job(&[rig::sleep(20, "x")]));
    raw::exchange(rig.entries[0].address(), &wrong);
    rig.put_settings("30-bad.toml", "[limits]\nno_such_key = 1\n");
    rig.put_settings("30-good.toml", "[limits]\nmax_job_tasks = 100\n");
    rig.wait_until_serving(3);

    assert_eq!(answer.expect("an answer").code, codes::Code::Complete);
    let lines = all_lines(&rig);
    let own = lines.iter().filter(|line| {
        let target = line["target"].as_str().unwrap_or_default();
        target.starts_with("bulrushtiller")
    });
    let unnamed: Vec<_> = own
        .filter(|line| !is_event(attribute(line, "event")))
        .collect();
    assert_eq!(unnamed, Vec::<&serde_json::Value>::new());
    let taken = attribute_lines(&lines, "event", "settings.in_force");
    assert!(taken >= 2 * (rig.entries.len() + rig.runners.len()));
    let text = serde_json::to_string(&lines).expect("a document");
    for token in [rig::TOKEN, rig::OTHER_TOKEN, "wrong-token"] {
        assert!(!text.contains(token), "{token}");
    }
}

/// Names of the metrics that the page lists for a role.
fn listed(role: &str) -> collections::BTreeSet<String> {
    let heading = format!("### Metrics of {role}");
    let (_, section) = OPERATIONS.split_once(&heading).expect("the page's section");
    let section = section.split("\n#").next().unwrap_or_default();
    let rows = section.lines().filter_map(|line| line.strip_prefix("| `"));
    rows.filter_map(|row| row.split('`').next())
        .map(str::to_owned)
        .collect()
}

/// Names of the metrics that a process serves.
fn served(process: &processes::Process) -> collections::BTreeSet<String> {
    let request = raw::request("GET /metrics", "", b"");
    let body = raw::body(process.address(), &request);
    let text = String::from_utf8(body).expect("a text");
    let samples = text.lines().filter(|line| !line.starts_with('#'));
    samples
        .filter_map(|line| line.split([' ', '{']).next())
        .map(str::to_owned)
        .collect()
}

#[test]
fn metrics_of_the_page_are_served() {
    let rig = rig::Rig::start(&rig::Plan::default());

    let of_entry = served(&rig.entries[0]);
    let of_runner = served(&rig.runners[0]);

    let listed = [listed("an entry"), listed("a runner")];
    assert!(listed.iter().all(|names| names.len() >= 8), "{listed:?}");
    assert_eq!(listed[0], of_entry);
    assert_eq!(listed[1], of_runner);
}
