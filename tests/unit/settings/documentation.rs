//! Compares the documentation of the settings and the examples with the code.

use std::collections;
use std::fs;
use std::path;

use bulrushtiller::settings;
use bulrushtiller::settings::merge;
use rstest::rstest;
use sha2::Digest;
use smol_str::SmolStr;

use super::fixtures;

/// Number of integer and ratio keys that the page lists.
const LISTED_KEYS: usize = 31;

/// One row of the page's table of settings keys.
struct Row {
    key: String,
    low: String,
    high: String,
    default: String,
}

fn root() -> &'static path::Path {
    path::Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn rows() -> Vec<Row> {
    let page = fs::read_to_string(root().join("docs/SETTINGS.md")).expect("the page exists");
    page.lines().filter_map(row).collect()
}

fn row(line: &str) -> Option<Row> {
    let cells: Vec<&str> = line.split('|').map(str::trim).collect();
    let ["", key, _unit, range, default, _ground, ""] = cells[..] else {
        return None;
    };
    let (low, high) = range.split_once(" to ")?;
    Some(Row {
        key: key.trim_matches('`').to_owned(),
        low: low.to_owned(),
        high: high.to_owned(),
        default: default.to_owned(),
    })
}

fn example(name: &str) -> merge::Files {
    let files = fs::read_dir(root().join("examples").join(name)).expect("the folder exists");
    let read = |file: fs::DirEntry| {
        let name = SmolStr::new(file.file_name().to_str().expect("the name is UTF-8"));
        (
            name,
            fs::read_to_string(file.path()).expect("the file is UTF-8"),
        )
    };
    files
        .map(|file| read(file.expect("the folder is readable")))
        .collect()
}

fn sha256(token: &str) -> String {
    let digest = sha2::Sha256::digest(token.as_bytes());
    digest
        .iter()
        .map(|b| format!("{b:02x}"))
        .collect::<Vec<_>>()
        .concat()
}

/// Returns the reasons for rejecting a value, without those for its relation to other keys.
fn range_rejections(key: &str, value: &str) -> Vec<String> {
    let files = fixtures::folder(&[("10.toml", &format!("{key} = {value}\n"))]);
    let problems = settings::check_folder(&files).err().unwrap_or_default();
    let texts = problems.iter().map(|problem| problem.reason.clone());
    texts.filter(|text| !text.contains("must be at ")).collect()
}

#[test]
fn page_lists_the_default_of_every_key() {
    let rows = rows();
    let line = |row: &Row| format!("{} = {}", row.key, row.default);
    let text: Vec<String> = rows.iter().map(line).collect();
    let files = fixtures::folder(&[("10.toml", &text.join("\n"))]);

    let settings = settings::check_folder(&files).expect("the defaults are valid");

    assert_eq!(rows.len(), LISTED_KEYS);
    let team = (SmolStr::new("NAME"), settings::Team::default());
    let expected = settings::Settings {
        teams: collections::BTreeMap::from([team]),
        ..settings::Settings::default()
    };
    assert_eq!(settings, expected);
}

#[test]
fn page_lists_the_range_of_every_key() {
    for Row { key, low, high, .. } in rows() {
        let text = |value: &str| format!("`{key}` is {value}; it must be from {low} to {high}");

        let within = [range_rejections(&key, &low), range_rejections(&key, &high)].concat();
        let below = range_rejections(&key, "-1");
        let above = range_rejections(&key, "99999999");

        assert_eq!(within, [] as [String; 0]);
        assert_eq!((below, above), (vec![text("-1")], vec![text("99999999")]));
    }
}

#[rstest]
#[case::taipa("taipa", &["bento", "cambara", "caxias", "vacaria"], &[
    ("taipa", "taipa-example-token"),
    ("coursework", "taipa-coursework-example-token"),
])]
#[case::formulario("formulario", &["ciudad-vieja", "cordon", "prado"], &[
    ("formulario", "formulario-example-token"),
    ("inspectors", "formulario-inspectors-example-token"),
])]
fn example_is_valid(#[case] name: &str, #[case] zones: &[&str], #[case] tokens: &[(&str, &str)]) {
    let files = example(name);

    let settings = settings::check_folder(&files).expect("the example is valid");

    assert!(settings.zones.keys().eq(zones));
    assert!(zones.iter().all(|zone| !settings.is_zone_out(zone)));
    for (team, token) in tokens {
        assert_eq!(settings.teams[*team].token_sha256, [sha256(token)]);
    }
}

// Taipa's operators take zones out of service and bring them back, and its work must move at
// once. Formulario's callers wait for answers in person: they prefer an early rejection to a
// long queue.
#[test]
fn example_policies_reflect_the_needs_of_their_users() {
    let policy = |name| {
        settings::check_folder(&example(name))
            .expect("the example is valid")
            .policy
    };

    let (taipa, formulario) = (policy("taipa"), policy("formulario"));

    assert!(taipa.ramp_ms < formulario.ramp_ms);
    assert!(taipa.near_zone_bias < formulario.near_zone_bias);
    assert!(taipa.max_queue_wait_ms > formulario.max_queue_wait_ms);
    assert!(taipa.park_per_runner > formulario.park_per_runner);
}
