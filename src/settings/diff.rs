//! Differences between two merged folders, key by key.

use std::collections;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use super::merge;

/// One key that was added, removed or set to another value.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct KeyChange {
    /// Path of the key.
    pub key: SmolStr,
    /// The previous value as TOML; `None` if the key was not set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub old: Option<String>,
    /// The new value as TOML; `None` if the key is no longer set.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub new: Option<String>,
}

impl fmt::Display for KeyChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let old = self.old.as_deref().unwrap_or("(not set)");
        let new = self.new.as_deref().unwrap_or("(not set)");
        write!(f, "{}: {old} -> {new}", self.key)
    }
}

/// Returns the changes from one merge to another, sorted by key.
pub fn diff(old: &merge::Merged, new: &merge::Merged) -> Vec<KeyChange> {
    let mut old = flatten(old);
    let mut changes = Vec::new();
    for (key, new) in flatten(new) {
        let old = old.remove(&key);
        if old.as_ref() != Some(&new) {
            let new = Some(new);
            changes.push(KeyChange { key, old, new });
        }
    }
    changes.extend(old.into_iter().map(|(key, old)| KeyChange {
        key,
        old: Some(old),
        new: None,
    }));
    changes.sort_by(|a, b| a.key.cmp(&b.key));
    changes
}

/// Returns the path of every key that has a value, with the value as TOML.
///
/// An empty table counts as a value, since `[teams.NAME]` alone defines a team.
pub fn flatten(merged: &merge::Merged) -> collections::BTreeMap<SmolStr, String> {
    let mut flat = collections::BTreeMap::new();
    flatten_table(&merged.root, "", &mut flat);
    flat
}

fn flatten_table(
    table: &merge::Table,
    path: &str,
    flat: &mut collections::BTreeMap<SmolStr, String>,
) {
    for (key, node) in table {
        let path = merge::join_path(path, key);
        match &node.value {
            merge::Value::Table(inner) if !inner.is_empty() => flatten_table(inner, &path, flat),
            value => {
                flat.insert(path, to_toml(value));
            }
        }
    }
}

/// Formats a value as TOML on one line.
pub fn to_toml(value: &merge::Value) -> String {
    match value {
        merge::Value::Text(text) => merge::quote(text),
        merge::Value::Integer(number) => number.to_string(),
        merge::Value::Float(number) => format!("{number:?}"),
        merge::Value::Boolean(flag) => flag.to_string(),
        merge::Value::Datetime(time) => time.to_string(),
        merge::Value::Array(items) => {
            let items: Vec<String> = items.iter().map(|node| to_toml(&node.value)).collect();
            format!("[{}]", items.join(", "))
        }
        merge::Value::Table(table) => {
            let pairs: Vec<String> = table
                .iter()
                .map(|(key, node)| {
                    format!("{} = {}", merge::join_path("", key), to_toml(&node.value))
                })
                .collect();
            format!("{{{}}}", pairs.join(", "))
        }
    }
}
