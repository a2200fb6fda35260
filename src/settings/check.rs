//! Checks a folder and a merge: from raw TOML to [`Settings`].
//!
//! Every reader comes to the same verdict, since nothing but the folder is looked at.

use std::collections;

use smol_str::SmolStr;

use super::checked::Limits;
use super::checked::Policy;
use super::checked::Settings;
use super::checked::Team;
use super::checked::Timeouts;
use super::checked::Zone;
use super::fields;
use super::merge;
use super::problem;
use super::ranges;
use super::relations;
use crate::codes;
use crate::ids;

/// Merges and checks a folder; all problems are given, in the order of file and line.
pub fn check_folder(files: &merge::Files) -> Result<Settings, Vec<problem::Problem>> {
    merge_checked(files).map(|(settings, _merged)| settings)
}

/// Like [`check_folder`], and hands out the merge as well.
pub fn merge_checked(
    files: &merge::Files,
) -> Result<(Settings, merge::Merged), Vec<problem::Problem>> {
    check_sizes(files)?;
    let merged = merge::merge(files)?;
    let settings = Settings::try_from(&merged)?;
    Ok((settings, merged))
}

/// Whether a name may be a file's: `[a-z0-9][a-z0-9._-]*\.toml`, up to 64 bytes.
pub fn is_file_name(name: &str) -> bool {
    let plain = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit();
    let good = |b: u8| plain(b) || b"._-".contains(&b);
    let Some(stem) = name.strip_suffix(".toml") else {
        return false;
    };
    name.len() <= ranges::MAX_FILE_NAME_BYTES
        && stem.bytes().next().is_some_and(plain)
        && stem.bytes().all(good)
}

/// Checks names and sizes, before anything is parsed.
fn check_sizes(files: &merge::Files) -> Result<(), Vec<problem::Problem>> {
    let mut problems = Vec::new();
    if files.len() > ranges::MAX_FILES {
        let most = ranges::MAX_FILES;
        let reason = format!("the folder has {} files; at most {most}", files.len());
        problems.push(folder_problem(
            problem::WHOLE_FOLDER,
            codes::Code::SettingsTooLarge,
            reason,
        ));
    }
    let mut folder_bytes = 0;
    for (name, text) in files {
        folder_bytes += json_bytes(name) + json_bytes(text);
        problems.extend(check_file(name, text));
    }
    if folder_bytes > ranges::MAX_FOLDER_BYTES {
        let most = ranges::MAX_FOLDER_BYTES;
        let reason = format!("the folder has {folder_bytes} bytes; at most {most}");
        problems.push(folder_problem(
            problem::WHOLE_FOLDER,
            codes::Code::SettingsTooLarge,
            reason,
        ));
    }
    refuse_any(problems)
}

/// Checks one file's name and size.
fn check_file(name: &str, text: &str) -> Option<problem::Problem> {
    let shown: SmolStr = name
        .escape_debug()
        .take(ranges::MAX_FILE_NAME_BYTES)
        .collect();
    if !is_file_name(name) {
        let most = ranges::MAX_FILE_NAME_BYTES;
        let reason = format!("a file is named [a-z0-9][a-z0-9._-]*.toml, at most {most} bytes");
        return Some(folder_problem(&shown, codes::Code::SettingsBadName, reason));
    }
    if text.len() > ranges::MAX_FILE_BYTES {
        let most = ranges::MAX_FILE_BYTES;
        let reason = format!("the file has {} bytes; at most {most}", text.len());
        return Some(folder_problem(
            &shown,
            codes::Code::SettingsTooLarge,
            reason,
        ));
    }
    None
}

fn folder_problem(file: &str, code: codes::Code, reason: String) -> problem::Problem {
    problem::Problem {
        file: SmolStr::new(file),
        line: 0,
        key: SmolStr::default(),
        code,
        reason,
    }
}

/// Length of a text written as a JSON string.
fn json_bytes(text: &str) -> usize {
    const QUOTES: usize = 2;
    let escaped = |c: char| match c {
        '"' | '\\' | '\n' | '\r' | '\t' => 2,
        c if c.is_ascii_control() => 6,
        c => c.len_utf8(),
    };
    QUOTES + text.chars().map(escaped).sum::<usize>()
}

fn refuse_any(mut problems: Vec<problem::Problem>) -> Result<(), Vec<problem::Problem>> {
    if problems.is_empty() {
        return Ok(());
    }
    problems.sort();
    Err(problems)
}

impl TryFrom<&merge::Merged> for Settings {
    type Error = Vec<problem::Problem>;

    fn try_from(merged: &merge::Merged) -> Result<Self, Vec<problem::Problem>> {
        let mut findings = fields::Findings::default();
        let settings = read_sections(&merged.root, &mut findings);
        relations::check_tokens(&settings, merged, &mut findings);
        // Values that were refused read as their defaults, so relations between keys
        // are looked at only when each is good by itself.
        if findings.problems.is_empty() {
            relations::check_relations(&settings, merged, &mut findings);
        }
        refuse_any(findings.problems)?;
        Ok(settings)
    }
}

fn read_sections(root: &merge::Table, findings: &mut fields::Findings) -> Settings {
    let mut settings = Settings::default();
    for (key, node) in root {
        let Some(table) = section(key, node, findings) else {
            continue;
        };
        match key.as_str() {
            "teams" => settings.teams = read_named(table, key, findings, read_team),
            "zones" => settings.zones = read_named(table, key, findings, read_zone),
            "limits" => settings.limits = read_limits(table, findings),
            "timeouts" => settings.timeouts = read_timeouts(table, findings),
            _ => settings.policy = read_policy(table, findings),
        }
    }
    settings
}

/// Names of the tables at the top.
const SECTIONS: [&str; 5] = ["teams", "zones", "limits", "timeouts", "policy"];

fn section<'a>(
    key: &SmolStr,
    node: &'a merge::Node,
    findings: &mut fields::Findings,
) -> Option<&'a merge::Table> {
    let path = merge::join_path("", key);
    if SECTIONS.contains(&key.as_str()) {
        return findings.table(node, &path);
    }
    let reason = format!("`{path}` is not a known key");
    findings.add(codes::Code::SettingsUnknownKey, &node.origin, path, reason);
    None
}

/// Reads `[SECTION.NAME]` tables.
fn read_named<T>(
    table: &merge::Table,
    section: &str,
    findings: &mut fields::Findings,
    read: fn(&merge::Table, SmolStr, &mut fields::Findings) -> T,
) -> collections::BTreeMap<SmolStr, T> {
    let mut named = collections::BTreeMap::new();
    for (name, node) in table {
        let path = merge::join_path(section, name);
        if let Err(e) = ids::check_name(name) {
            findings.impossible(&node.origin, &path, format_args!("has a bad name: {e}"));
        } else if let Some(inner) = findings.table(node, &path) {
            named.insert(name.clone(), read(inner, path, findings));
        }
    }
    named
}

fn read_team(table: &merge::Table, path: SmolStr, findings: &mut fields::Findings) -> Team {
    let mut team = Team::default();
    let mut fields = fields::Fields::new(table, path, findings);
    fields.whole("weight", &mut team.weight, &ranges::TEAM_WEIGHT);
    fields.whole(
        "max_running",
        &mut team.max_running,
        &ranges::TEAM_MAX_RUNNING,
    );
    fields.whole("max_queued", &mut team.max_queued, &ranges::TEAM_MAX_QUEUED);
    team.token_sha256 = fields.texts("token_sha256");
    fields.refuse_unknown();
    team
}

fn read_zone(table: &merge::Table, path: SmolStr, findings: &mut fields::Findings) -> Zone {
    let mut zone = Zone::default();
    let mut fields = fields::Fields::new(table, path, findings);
    fields.flag("out", &mut zone.out);
    fields.refuse_unknown();
    zone
}

fn read_limits(table: &merge::Table, findings: &mut fields::Findings) -> Limits {
    let mut limits = Limits::default();
    let mut fields = fields::Fields::new(table, SmolStr::new("limits"), findings);
    fields.whole(
        "max_job_tasks",
        &mut limits.max_job_tasks,
        &ranges::MAX_JOB_TASKS,
    );
    fields.whole(
        "max_body_bytes",
        &mut limits.max_body_bytes,
        &ranges::MAX_BODY_BYTES,
    );
    fields.whole(
        "max_payload_bytes",
        &mut limits.max_payload_bytes,
        &ranges::MAX_PAYLOAD_BYTES,
    );
    fields.whole("max_queued", &mut limits.max_queued, &ranges::MAX_QUEUED);
    fields.whole(
        "max_submissions",
        &mut limits.max_submissions,
        &ranges::MAX_SUBMISSIONS,
    );
    fields.whole("max_wait_ms", &mut limits.max_wait_ms, &ranges::MAX_WAIT_MS);
    fields.refuse_unknown();
    limits
}

fn read_timeouts(table: &merge::Table, findings: &mut fields::Findings) -> Timeouts {
    let mut timeouts = Timeouts::default();
    let mut fields = fields::Fields::new(table, SmolStr::new("timeouts"), findings);
    fields.whole(
        "heartbeat_ms",
        &mut timeouts.heartbeat_ms,
        &ranges::HEARTBEAT_MS,
    );
    fields.whole(
        "dead_after_ms",
        &mut timeouts.dead_after_ms,
        &ranges::DEAD_AFTER_MS,
    );
    fields.whole("fresh_ms", &mut timeouts.fresh_ms, &ranges::FRESH_MS);
    fields.whole(
        "query_after_ms",
        &mut timeouts.query_after_ms,
        &ranges::QUERY_AFTER_MS,
    );
    fields.whole("park_ms", &mut timeouts.park_ms, &ranges::PARK_MS);
    fields.whole(
        "run_limit_ms",
        &mut timeouts.run_limit_ms,
        &ranges::RUN_LIMIT_MS,
    );
    fields.whole(
        "deadline_ms",
        &mut timeouts.deadline_ms,
        &ranges::DEADLINE_MS,
    );
    fields.whole("drain_ms", &mut timeouts.drain_ms, &ranges::DRAIN_MS);
    fields.whole("retain_ms", &mut timeouts.retain_ms, &ranges::RETAIN_MS);
    fields.whole("answer_ms", &mut timeouts.answer_ms, &ranges::ANSWER_MS);
    fields.whole(
        "checkpoint_ms",
        &mut timeouts.checkpoint_ms,
        &ranges::CHECKPOINT_MS,
    );
    fields.refuse_unknown();
    timeouts
}

fn read_policy(table: &merge::Table, findings: &mut fields::Findings) -> Policy {
    let mut policy = Policy::default();
    let mut fields = fields::Fields::new(table, SmolStr::new("policy"), findings);
    fields.whole(
        "max_queue_wait_ms",
        &mut policy.max_queue_wait_ms,
        &ranges::MAX_QUEUE_WAIT_MS,
    );
    fields.whole(
        "park_per_runner",
        &mut policy.park_per_runner,
        &ranges::PARK_PER_RUNNER,
    );
    fields.whole(
        "near_zone_bias",
        &mut policy.near_zone_bias,
        &ranges::NEAR_ZONE_BIAS,
    );
    fields.ratio("retry_ratio", &mut policy.retry_ratio, &ranges::RETRY_RATIO);
    fields.whole("retry_burst", &mut policy.retry_burst, &ranges::RETRY_BURST);
    fields.ratio(
        "eject_fraction",
        &mut policy.eject_fraction,
        &ranges::EJECT_FRACTION,
    );
    fields.whole(
        "eject_failures",
        &mut policy.eject_failures,
        &ranges::EJECT_FAILURES,
    );
    fields.whole("eject_ms", &mut policy.eject_ms, &ranges::EJECT_MS);
    fields.whole("ramp_ms", &mut policy.ramp_ms, &ranges::RAMP_MS);
    fields.whole("age_ms", &mut policy.age_ms, &ranges::AGE_MS);
    fields.ratio(
        "pass_on_below",
        &mut policy.pass_on_below,
        &ranges::PASS_ON_BELOW,
    );
    fields.refuse_unknown();
    policy
}
