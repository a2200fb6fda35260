//! Log lines and metrics of real processes, as operators read them.

use std::collections;
use std::fs;

use bulrushtiller::codes;
use bulrushtiller_standins::processes;

use crate::raw;
use crate::rig;

/// Documentation page whose lists of metrics are compared with those that the processes serve.
const OPERATIONS: &str = include_str!("../../docs/OPERATIONS.md");

/// Returns all log lines of a process, as JSON.
fn lines(rig: &rig::Rig, daemon: &processes::Process) -> Vec<serde_json::Value> {
    lines_of_name(rig, daemon.name())
}

/// Returns all log lines of the process with this name, as JSON.
pub fn lines_of_name(rig: &rig::Rig, daemon: &str) -> Vec<serde_json::Value> {
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

/// Returns an attribute of a log line, or an empty string if it is missing.
pub fn attribute<'a>(line: &'a serde_json::Value, name: &str) -> &'a str {
    line["attributes"][name].as_str().unwrap_or_default()
}

/// Returns the sorted event names of the lines whose attribute has this value.
fn events(lines: &[serde_json::Value], name: &str, value: &str) -> Vec<String> {
    let matching = lines.iter().filter(|line| attribute(line, name) == value);
    let mut events: Vec<_> = matching
        .map(|line| attribute(line, "event").to_owned())
        .collect();
    events.sort();
    events
}

#[test]
fn task_is_logged_under_one_attempt_id_in_all_processes() {
    let rig = rig::Rig::start(&rig::Plan::default());
    let payloads: Vec<String> = (0..3)
        .map(|at| rig::sleep_payload(20, &format!("{at}")))
        .collect();

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

fn count_lines(lines: &[serde_json::Value], name: &str, value: &str) -> usize {
    let matching = lines.iter().filter(|line| attribute(line, name) == value);
    matching.count()
}

/// Returns whether a text has the form `COMPONENT.EVENT`, which programs match.
fn is_event(text: &str) -> bool {
    let is_identifier = |word: &str| {
        let mut letters = word.bytes();
        !word.is_empty() && letters.all(|b| b.is_ascii_lowercase() || b == b'_')
    };
    text.split_once('.')
        .is_some_and(|(component, event)| is_identifier(component) && is_identifier(event))
}

/// Guards against log lines without an event name, which alarms can't match, and against bearer
/// tokens in the logs, with which a reader of the logs could act for a team.
#[test]
fn log_lines_have_event_names_and_no_tokens() {
    let rig = rig::Rig::start(&rig::Plan::default());
    let wrong = raw::request("POST /v1/jobs", &raw::bearer("wrong-token"), b"{}");

    let answer = rig.submit(0, &rig::job(&[rig::sleep_payload(20, "x")]));
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
    let in_force = count_lines(&lines, "event", "settings.in_force");
    assert!(in_force >= 2 * (rig.entries.len() + rig.runners.len()));
    let text = serde_json::to_string(&lines).expect("a document");
    for token in [rig::TOKEN, rig::OTHER_TOKEN, "wrong-token"] {
        assert!(!text.contains(token), "{token}");
    }
}

/// Returns the names of the metrics that the documentation lists for a role.
fn documented_metrics(role: &str) -> collections::BTreeSet<String> {
    let heading = format!("### Metrics of {role}");
    let (_, section) = OPERATIONS.split_once(&heading).expect("the page's section");
    let section = section.split("\n#").next().unwrap_or_default();
    let rows = section.lines().filter_map(|line| line.strip_prefix("| `"));
    rows.filter_map(|row| row.split('`').next())
        .map(str::to_owned)
        .collect()
}

/// Returns the names of the metrics that a process serves.
fn served_metrics(process: &processes::Process) -> collections::BTreeSet<String> {
    let request = raw::request("GET /metrics", "", b"");
    let body = raw::response_body(process.address(), &request);
    let text = String::from_utf8(body).expect("a text");
    let samples = text.lines().filter(|line| !line.starts_with('#'));
    samples
        .filter_map(|line| line.split([' ', '{']).next())
        .map(str::to_owned)
        .collect()
}

#[test]
fn served_metrics_match_documented_metrics() {
    let rig = rig::Rig::start(&rig::Plan::default());

    let of_entry = served_metrics(&rig.entries[0]);
    let of_runner = served_metrics(&rig.runners[0]);

    let listed = [
        documented_metrics("an entry"),
        documented_metrics("a runner"),
    ];
    assert!(listed.iter().all(|names| names.len() >= 8), "{listed:?}");
    assert_eq!(listed[0], of_entry);
    assert_eq!(listed[1], of_runner);
}
