//! The merge, compared with a reference that flattens each file and overrides key by key.

use std::collections;

use bulrushtiller::settings::diff;
use bulrushtiller::settings::merge;
use proptest::prelude::Strategy;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use smol_str::SmolStr;

use super::fixtures;

type Path = Vec<String>;
type Flat = collections::BTreeMap<Path, toml::Value>;

fn any_value() -> impl Strategy<Value = toml::Value> {
    let leaf = prop_oneof![
        (-3_i64..3).prop_map(toml::Value::Integer),
        proptest::bool::ANY.prop_map(toml::Value::Boolean),
        "[a-c\"\\\\\n\u{1}é]{0,3}".prop_map(toml::Value::String),
        proptest::collection::vec((0_i64..3).prop_map(toml::Value::Integer), 0..3)
            .prop_map(toml::Value::Array),
    ];
    leaf.prop_recursive(3, 12, 3, |inner| {
        any_table(inner).prop_map(toml::Value::Table)
    })
}

fn any_table(value: impl Strategy<Value = toml::Value>) -> impl Strategy<Value = toml::Table> {
    let key = proptest::sample::select(vec!["a", "b", "c d"]).prop_map(str::to_owned);
    proptest::collection::btree_map(key, value, 0..4).prop_map(|map| map.into_iter().collect())
}

fn any_folder() -> impl Strategy<Value = merge::Files> {
    let name = proptest::sample::select(vec!["1.toml", "2.toml", "10.toml", "a.toml"]);
    let text = any_table(any_value()).prop_map(|t| toml::to_string(&t).expect("it is TOML"));
    proptest::collection::btree_map(name.prop_map(SmolStr::new), text, 0..4)
}

fn flatten(table: &toml::Table, path: &Path, flat: &mut Flat) {
    for (key, value) in table {
        let mut path = path.clone();
        path.push(key.clone());
        match value {
            toml::Value::Table(inner) if !inner.is_empty() => flatten(inner, &path, flat),
            value => {
                flat.insert(path, value.clone());
            }
        }
    }
}

fn reference_merge(files: &merge::Files) -> Flat {
    let mut merged = Flat::new();
    for text in files.values() {
        let mut flat = Flat::new();
        let table: toml::Table = toml::from_str(text).expect("it is TOML");
        flatten(&table, &Path::new(), &mut flat);
        for (path, value) in flat {
            let is_empty_table = value.as_table().is_some();
            let holds_keys = |old: &Path| old.len() > path.len() && old.starts_with(&path);
            if is_empty_table && merged.keys().any(holds_keys) {
                continue;
            }
            merged.retain(|old, _| !old.starts_with(&path) && !path.starts_with(old));
            merged.insert(path, value);
        }
    }
    merged
}

fn reparse(flat: &collections::BTreeMap<SmolStr, String>) -> Flat {
    let pair = |(key, value): (&SmolStr, &String)| {
        let table: toml::Table = toml::from_str(&format!("{key} = {value}")).expect("it is TOML");
        let mut flat = Flat::new();
        flatten(&table, &Path::new(), &mut flat);
        flat.pop_first().expect("there is one key")
    };
    flat.iter().map(pair).collect()
}

#[test]
fn merge_matches_the_reference_merge() {
    let mut runner = fixtures::fixed_runner(512);

    let result = runner.run(&any_folder(), |files| {
        let merged = merge::merge(&files).expect("every file is TOML");
        prop_assert_eq!(reparse(&diff::flatten(&merged)), reference_merge(&files));
        Ok(())
    });

    assert_eq!(result, Ok(()));
}

#[test]
fn diff_applied_to_the_old_folder_gives_the_new_one() {
    let mut runner = fixtures::fixed_runner(512);

    let result = runner.run(&(any_folder(), any_folder()), |(old, new)| {
        let old = merge::merge(&old).expect("every file is TOML");
        let new = merge::merge(&new).expect("every file is TOML");
        let mut patched = diff::flatten(&old);
        for change in diff::diff(&old, &new) {
            prop_assert_eq!(patched.remove(&change.key), change.old);
            change.new.map(|value| patched.insert(change.key, value));
        }
        prop_assert_eq!(patched, diff::flatten(&new));
        Ok(())
    });

    assert_eq!(result, Ok(()));
}

#[test]
fn removing_a_file_restores_the_values_it_overrode() {
    let mut files = fixtures::folder(&[
        ("10.toml", "[limits]\nmax_queued = 900\n"),
        ("20.toml", "[limits]\nmax_queued = 800\n"),
    ]);
    let old = merge::merge(&files).expect("every file is TOML");
    files.remove("20.toml");

    let new = merge::merge(&files).expect("every file is TOML");

    let lines: Vec<String> = diff::diff(&old, &new)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(lines, ["limits.max_queued: 800 -> 900"]);
}

#[test]
fn origin_is_the_last_file_that_set_the_key() {
    let files = fixtures::folder(&[
        ("10.toml", "[limits]\nmax_queued = 900\n"),
        ("20.toml", "# later\n\nlimits.max_queued = 800\n"),
    ]);

    let merged = merge::merge(&files).expect("every file is TOML");

    let origin = merged
        .get(&["limits", "max_queued"])
        .map(|node| node.origin.clone());
    let file = SmolStr::new("20.toml");
    assert_eq!(origin, Some(merge::Origin { file, line: 3 }));
}
