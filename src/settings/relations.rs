//! Validates relations between keys.

use std::collections;

use smol_str::SmolStr;

use super::fields;
use super::merge;
use super::ranges;
use super::values::Settings;

/// SHA-256 hash of the empty token, which must not grant access.
const EMPTY_TOKEN_SHA256: &str = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";

/// Validates the token hashes of all teams, which must be unique across teams.
pub(super) fn check_tokens(
    settings: &Settings,
    merged: &merge::Merged,
    findings: &mut fields::Findings,
) {
    let mut owners = collections::BTreeMap::<&str, &str>::new();
    for (name, team) in &settings.teams {
        let path = merge::join_path("teams", name);
        let path = merge::join_path(&path, "token_sha256");
        let node = merged.get(&["teams", name, "token_sha256"]);
        if team.token_sha256.len() > ranges::MAX_TOKENS {
            let origin = node.map(|node| node.origin.clone()).unwrap_or_default();
            let detail = format!("has more than {} hashes", ranges::MAX_TOKENS);
            findings.impossible(&origin, &path, detail);
        }
        for (origin, hash) in node.into_iter().flat_map(strings) {
            if let Some(detail) = invalid_hash(hash) {
                findings.impossible(origin, &path, detail);
            } else if let Some(owner) = owners.insert(hash, name) {
                let detail = format!("has a hash that team `{owner}` has already");
                findings.impossible(origin, &path, detail);
            }
        }
    }
}

/// Returns the strings of an array with their origins.
fn strings(node: &merge::Node) -> impl Iterator<Item = (&merge::Origin, &SmolStr)> {
    let items = match &node.value {
        merge::Value::Array(items) => items.as_slice(),
        _ => &[],
    };
    items.iter().filter_map(|item| match &item.value {
        merge::Value::Text(text) => Some((&item.origin, text)),
        _ => None,
    })
}

fn invalid_hash(hash: &str) -> Option<&'static str> {
    let hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    if hash.len() != ranges::TOKEN_HASH_DIGITS || !hash.bytes().all(hex) {
        return Some("must have hashes of 64 lower-case hexadecimal digits");
    }
    (hash == EMPTY_TOKEN_SHA256).then_some("has the hash of the empty token")
}

/// Validates numeric keys that depend on each other.
pub(super) fn check_relations(
    settings: &Settings,
    merged: &merge::Merged,
    findings: &mut fields::Findings,
) {
    let Settings {
        limits, timeouts, ..
    } = settings;
    let mut require = |holds: bool, section: &str, keys: &[&str], rule: &str| {
        if !holds {
            report_relation(merged, section, keys, rule, findings);
        }
    };

    require(
        limits.max_payload_bytes <= limits.max_body_bytes,
        "limits",
        &["max_payload_bytes", "max_body_bytes"],
        "must be at most max_body_bytes, or the largest payload could never be sent",
    );
    require(
        limits.max_job_tasks <= limits.max_queued,
        "limits",
        &["max_job_tasks", "max_queued"],
        "must be at most max_queued, or the largest job could never be taken in",
    );
    require(
        timeouts.dead_after_ms >= 2 * timeouts.heartbeat_ms,
        "timeouts",
        &["dead_after_ms", "heartbeat_ms"],
        "must be at least twice heartbeat_ms, or one lost heartbeat looks like a death",
    );
    require(
        timeouts.fresh_ms >= 2 * timeouts.heartbeat_ms,
        "timeouts",
        &["fresh_ms", "heartbeat_ms"],
        "must be at least twice heartbeat_ms, or one lost heartbeat stops all work",
    );
    require(
        timeouts.drain_ms >= timeouts.run_limit_ms + timeouts.park_ms,
        "timeouts",
        &["drain_ms", "run_limit_ms", "park_ms"],
        "must be at least run_limit_ms + park_ms, or a planned stop cuts tasks",
    );
    require(
        timeouts.retain_ms
            >= timeouts.run_limit_ms
                + timeouts.park_ms
                + timeouts.dead_after_ms
                + timeouts.query_after_ms,
        "timeouts",
        &[
            "retain_ms",
            "run_limit_ms",
            "park_ms",
            "dead_after_ms",
            "query_after_ms",
        ],
        "must be at least run_limit_ms + park_ms + dead_after_ms + query_after_ms, or a \
         runner forgets a task before its entry has asked about it",
    );
}

/// Reports a violated relation at whichever of its keys has the last origin in file order.
fn report_relation(
    merged: &merge::Merged,
    section: &str,
    keys: &[&str],
    rule: &str,
    findings: &mut fields::Findings,
) {
    let origins = keys.iter().filter_map(|key| merged.get(&[section, key]));
    let origin = origins.map(|node| &node.origin).max();
    let origin = origin.cloned().unwrap_or_default();
    findings.impossible(&origin, &merge::join_path(section, keys[0]), rule);
}
