//! Validates a settings folder and converts its merged TOML into [`Settings`].
//!
//! The result depends on the folder alone, so every process reaches the same verdict.

use std::collections;

use smol_str::SmolStr;

use super::fields;
use super::merge;
use super::problem;
use super::ranges;
use super::relations;
use super::values::Limits;
use super::values::Policy;
use super::values::Settings;
use super::values::Team;
use super::values::Timeouts;
use super::values::Zone;
use crate::codes;
use crate::ids;

/// Merges and validates a folder; on failure, returns all problems in order of file and line.
pub fn check_folder(files: &merge::Files) -> Result<Settings, Vec<problem::Problem>> {
    merge_checked(files).map(|(settings, _merged)| settings)
}

/// Like [`check_folder`], but also returns the merge.
pub fn merge_checked(
    files: &merge::Files,
) -> Result<(Settings, merge::Merged), Vec<problem::Problem>> {
    check_sizes(files)?;
    let merged = merge::merge(files)?;
    let settings = Settings::try_from(&merged)?;
    Ok((settings, merged))
}

/// Returns whether a name is a valid file name: `[a-z0-9][a-z0-9._-]*\.toml`, up to 64 bytes.
pub fn is_file_name(name: &str) -> bool {
    let is_alphanumeric = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit();
    let is_allowed = |b: u8| is_alphanumeric(b) || b"._-".contains(&b);
    let Some(stem) = name.strip_suffix(".toml") else {
        return false;
    };
    name.len() <= ranges::MAX_FILE_NAME_BYTES
        && stem.bytes().next().is_some_and(is_alphanumeric)
        && stem.bytes().all(is_allowed)
}

/// Checks file names and sizes before anything is parsed.
fn check_sizes(files: &merge::Files) -> Result<(), Vec<problem::Problem>> {
    let mut problems = Vec::new();
    if files.len() > ranges::MAX_FILES {
        let max = ranges::MAX_FILES;
        let reason = format!("the folder has {} files; at most {max}", files.len());
        problems.push(folder_problem(
            problem::WHOLE_FOLDER,
            codes::Code::SettingsTooLarge,
            reason,
        ));
    }
    let mut total_bytes = 0;
    for (name, text) in files {
        total_bytes += json_bytes(name) + json_bytes(text);
        problems.extend(check_file(name, text));
    }
    if total_bytes > ranges::MAX_FOLDER_BYTES {
        let max = ranges::MAX_FOLDER_BYTES;
        let reason = format!("the folder has {total_bytes} bytes; at most {max}");
        problems.push(folder_problem(
            problem::WHOLE_FOLDER,
            codes::Code::SettingsTooLarge,
            reason,
        ));
    }
    into_result(problems)
}

/// Checks the name and size of one file.
fn check_file(name: &str, text: &str) -> Option<problem::Problem> {
    let shown_name: SmolStr = name
        .escape_debug()
        .take(ranges::MAX_FILE_NAME_BYTES)
        .collect();
    if !is_file_name(name) {
        let max = ranges::MAX_FILE_NAME_BYTES;
        let reason = format!("a file is named [a-z0-9][a-z0-9._-]*.toml, at most {max} bytes");
        return Some(folder_problem(
            &shown_name,
            codes::Code::SettingsBadName,
            reason,
        ));
    }
    if text.len() > ranges::MAX_FILE_BYTES {
        let max = ranges::MAX_FILE_BYTES;
        let reason = format!("the file has {} bytes; at most {max}", text.len());
        return Some(folder_problem(
            &shown_name,
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

/// Returns the length in bytes of a text written as a JSON string.
fn json_bytes(text: &str) -> usize {
    const QUOTES: usize = 2;
    let escaped = |c: char| match c {
        '"' | '\\' | '\n' | '\r' | '\t' => 2,
        c if c.is_ascii_control() => 6,
        c => c.len_utf8(),
    };
    QUOTES + text.chars().map(escaped).sum::<usize>()
}

fn into_result(mut problems: Vec<problem::Problem>) -> Result<(), Vec<problem::Problem>> {
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
        // A rejected value is replaced by its default, so relations between keys are
        // checked only if every key is valid by itself.
        if findings.problems.is_empty() {
            relations::check_relations(&settings, merged, &mut findings);
        }
        into_result(findings.problems)?;
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

/// Names of the top-level tables.
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

/// Reads the `[SECTION.NAME]` tables of a section.
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
    fields.integer("weight", &mut team.weight, &ranges::TEAM_WEIGHT);
    fields.integer(
        "max_running",
        &mut team.max_running,
        &ranges::TEAM_MAX_RUNNING,
    );
    fields.integer("max_queued", &mut team.max_queued, &ranges::TEAM_MAX_QUEUED);
    team.token_sha256 = fields.texts("token_sha256");
    fields.reject_unknown();
    team
}

fn read_zone(table: &merge::Table, path: SmolStr, findings: &mut fields::Findings) -> Zone {
    let mut zone = Zone::default();
    let mut fields = fields::Fields::new(table, path, findings);
    fields.flag("out", &mut zone.out);
    fields.reject_unknown();
    zone
}

fn read_limits(table: &merge::Table, findings: &mut fields::Findings) -> Limits {
    let mut limits = Limits::default();
    let mut fields = fields::Fields::new(table, SmolStr::new("limits"), findings);
    fields.integer(
        "max_job_tasks",
        &mut limits.max_job_tasks,
        &ranges::MAX_JOB_TASKS,
    );
    fields.integer(
        "max_body_bytes",
        &mut limits.max_body_bytes,
        &ranges::MAX_BODY_BYTES,
    );
    fields.integer(
        "max_payload_bytes",
        &mut limits.max_payload_bytes,
        &ranges::MAX_PAYLOAD_BYTES,
    );
    fields.integer("max_queued", &mut limits.max_queued, &ranges::MAX_QUEUED);
    fields.integer(
        "max_submissions",
        &mut limits.max_submissions,
        &ranges::MAX_SUBMISSIONS,
    );
    fields.integer("max_wait_ms", &mut limits.max_wait_ms, &ranges::MAX_WAIT_MS);
    fields.reject_unknown();
    limits
}

fn read_timeouts(table: &merge::Table, findings: &mut fields::Findings) -> Timeouts {
    let mut timeouts = Timeouts::default();
    let mut fields = fields::Fields::new(table, SmolStr::new("timeouts"), findings);
    fields.integer(
        "heartbeat_ms",
        &mut timeouts.heartbeat_ms,
        &ranges::HEARTBEAT_MS,
    );
    fields.integer(
        "dead_after_ms",
        &mut timeouts.dead_after_ms,
        &ranges::DEAD_AFTER_MS,
    );
    fields.integer("fresh_ms", &mut timeouts.fresh_ms, &ranges::FRESH_MS);
    fields.integer(
        "query_after_ms",
        &mut timeouts.query_after_ms,
        &ranges::QUERY_AFTER_MS,
    );
    fields.integer("park_ms", &mut timeouts.park_ms, &ranges::PARK_MS);
    fields.integer(
        "run_limit_ms",
        &mut timeouts.run_limit_ms,
        &ranges::RUN_LIMIT_MS,
    );
    fields.integer(
        "deadline_ms",
        &mut timeouts.deadline_ms,
        &ranges::DEADLINE_MS,
    );
    fields.integer("drain_ms", &mut timeouts.drain_ms, &ranges::DRAIN_MS);
    fields.integer("retain_ms", &mut timeouts.retain_ms, &ranges::RETAIN_MS);
    fields.integer("answer_ms", &mut timeouts.answer_ms, &ranges::ANSWER_MS);
    fields.integer(
        "checkpoint_ms",
        &mut timeouts.checkpoint_ms,
        &ranges::CHECKPOINT_MS,
    );
    fields.reject_unknown();
    timeouts
}

fn read_policy(table: &merge::Table, findings: &mut fields::Findings) -> Policy {
    let mut policy = Policy::default();
    let mut fields = fields::Fields::new(table, SmolStr::new("policy"), findings);
    fields.integer(
        "max_queue_wait_ms",
        &mut policy.max_queue_wait_ms,
        &ranges::MAX_QUEUE_WAIT_MS,
    );
    fields.integer(
        "park_per_runner",
        &mut policy.park_per_runner,
        &ranges::PARK_PER_RUNNER,
    );
    fields.integer(
        "near_zone_bias",
        &mut policy.near_zone_bias,
        &ranges::NEAR_ZONE_BIAS,
    );
    fields.ratio("retry_ratio", &mut policy.retry_ratio, &ranges::RETRY_RATIO);
    fields.integer("retry_burst", &mut policy.retry_burst, &ranges::RETRY_BURST);
    fields.ratio(
        "eject_fraction",
        &mut policy.eject_fraction,
        &ranges::EJECT_FRACTION,
    );
    fields.integer(
        "eject_failures",
        &mut policy.eject_failures,
        &ranges::EJECT_FAILURES,
    );
    fields.integer("eject_ms", &mut policy.eject_ms, &ranges::EJECT_MS);
    fields.integer("ramp_ms", &mut policy.ramp_ms, &ranges::RAMP_MS);
    fields.integer("age_ms", &mut policy.age_ms, &ranges::AGE_MS);
    fields.ratio(
        "pass_on_below",
        &mut policy.pass_on_below,
        &ranges::PASS_ON_BELOW,
    );
    fields.reject_unknown();
    policy
}
