//! Validation of a folder, and the positions reported for its problems.

use std::fmt::Write;

use bulrushtiller::codes;
use bulrushtiller::settings;
use bulrushtiller::settings::check;
use bulrushtiller::settings::merge;
use bulrushtiller::settings::ranges;
use rstest::rstest;

use super::fixtures;

fn hash(digit: char) -> String {
    digit.to_string().repeat(ranges::TOKEN_HASH_DIGITS)
}

fn rejection_reasons(files: &merge::Files) -> Vec<String> {
    let problems = settings::check_folder(files).expect_err("the folder is invalid");
    problems.iter().map(ToString::to_string).collect()
}

#[test]
fn empty_folder_gives_default_settings() {
    let files = fixtures::folder(&[]);

    let settings = settings::check_folder(&files).expect("nothing is wrong");

    assert_eq!(settings, settings::Settings::default());
}

#[test]
fn valid_keys_override_defaults() {
    let text = format!(
        "[teams.a]\ntoken_sha256 = [\"{}\"]\n[zones.bento]\nout = true\n[timeouts]\nfresh_ms = 2_000\n\
         [policy]\nretry_ratio = 0\n",
        hash('a')
    );
    let files = fixtures::folder(&[("10.toml", &text)]);

    let settings = settings::check_folder(&files).expect("nothing is wrong");

    assert!(settings.is_zone_out("bento"));
    assert_eq!(settings.timeouts.fresh_ms, 2_000);
    assert_eq!(settings.policy.retry_ratio.to_bits(), 0_f64.to_bits());
    assert_eq!(settings.teams["a"].token_sha256, [hash('a')]);
}

#[rstest]
#[case::unknown_section("\n[teem.a]\n", codes::Code::SettingsUnknownKey, 2)]
#[case::unknown_key("[limits]\nmax_jobs = 1\n", codes::Code::SettingsUnknownKey, 2)]
#[case::unknown_in_zone("[zones.a]\nin = true\n", codes::Code::SettingsUnknownKey, 2)]
#[case::scalar_for_table("teams = 1\n", codes::Code::SettingsWrongType, 1)]
#[case::text_for_number("[limits]\nmax_queued = \"9\"\n", codes::Code::SettingsWrongType, 2)]
#[case::float_for_number("[limits]\n\nmax_queued = 9.0\n", codes::Code::SettingsWrongType, 3)]
#[case::number_for_flag("[zones.a]\nout = 1\n", codes::Code::SettingsWrongType, 2)]
#[case::number_for_hash("[teams.a]\ntoken_sha256 = [\n1]\n", codes::Code::SettingsWrongType, 3)]
#[case::zero("[teams.a]\nweight = 0\n", codes::Code::SettingsImpossible, 2)]
#[case::negative("[teams.a]\nweight = -1\n", codes::Code::SettingsImpossible, 2)]
#[case::beyond_u32("[teams.a]\nweight = 4294967297\n", codes::Code::SettingsImpossible, 2)]
#[case::not_a_number("[policy]\nretry_ratio = nan\n", codes::Code::SettingsImpossible, 2)]
#[case::infinite("[policy]\nretry_ratio = inf\n", codes::Code::SettingsImpossible, 2)]
#[case::team_name("[teams.\"a b\"]\n", codes::Code::SettingsImpossible, 1)]
#[case::empty_name("[zones.\"\"]\n", codes::Code::SettingsImpossible, 1)]
#[case::short_hash(
    "[teams.a]\ntoken_sha256 = [\"ab\"]\n",
    codes::Code::SettingsImpossible,
    2
)]
#[case::dead_too_soon(
    "[timeouts]\ndead_after_ms = 900\n",
    codes::Code::SettingsImpossible,
    2
)]
#[case::never_fresh(
    "[timeouts]\nheartbeat_ms = 1600\n",
    codes::Code::SettingsImpossible,
    2
)]
#[case::drain_too_short("[timeouts]\ndrain_ms = 31999\n", codes::Code::SettingsImpossible, 2)]
#[case::forgets("[timeouts]\nretain_ms = 35999\n", codes::Code::SettingsImpossible, 2)]
#[case::answer("[timeouts]\nanswer_ms = 999\n", codes::Code::SettingsImpossible, 2)]
#[case::payload(
    "[limits]\n\nmax_body_bytes = 1024\n",
    codes::Code::SettingsImpossible,
    3
)]
#[case::job("[limits]\nmax_queued = 279\n", codes::Code::SettingsImpossible, 2)]
#[case::syntax("[limits\n", codes::Code::SettingsSyntax, 1)]
#[case::twice(
    "[limits]\nmax_queued = 900\nmax_queued = 900\n",
    codes::Code::SettingsSyntax,
    3
)]
#[case::beyond_i64("a = 99999999999999999999\n", codes::Code::SettingsSyntax, 1)]
#[case::no_text("\u{0}", codes::Code::SettingsSyntax, 1)]
fn invalid_file_is_rejected_with_its_position(
    #[case] text: &str,
    #[case] code: codes::Code,
    #[case] line: u32,
) {
    let files = fixtures::folder(&[("10-good.toml", "[zones.x]\n"), ("20-bad.toml", text)]);

    let problems = settings::check_folder(&files).expect_err("the file is invalid");

    let first = &problems[0];
    assert_eq!((first.code, first.line), (code, line), "{problems:?}");
    assert_eq!(first.file, "20-bad.toml");
    assert!(
        first
            .to_string()
            .starts_with(&format!("20-bad.toml:{line}: "))
    );
}

#[test]
fn all_problems_are_listed_in_file_and_line_order() {
    let files = fixtures::folder(&[
        ("20.toml", "[limits]\nmax_queued = 0\nnone = 1\n"),
        ("10.toml", "[zones]\na = 1\n\n[policy]\nage_ms = \"x\"\n"),
    ]);

    let rejection_reasons = rejection_reasons(&files);

    let expected = [
        "10.toml:2: `zones.a` must be a table, not an integer",
        "10.toml:5: `policy.age_ms` must be an integer, not a string",
        "20.toml:2: `limits.max_queued` is 0; it must be from 1 to 1000000",
        "20.toml:3: `limits.none` is not a known key",
    ];
    assert_eq!(rejection_reasons, expected);
}

#[test]
fn violated_relation_is_reported_at_the_last_origin() {
    let files = fixtures::folder(&[
        ("10.toml", "[timeouts]\nfresh_ms = 900\n"),
        ("20.toml", "\n\n[timeouts]\nheartbeat_ms = 460\n"),
    ]);

    let rejection_reasons = rejection_reasons(&files);

    let text = "20.toml:4: `timeouts.fresh_ms` must be at least twice heartbeat_ms, or one lost \
                heartbeat stops all work";
    assert_eq!(rejection_reasons, [text]);
}

#[test]
fn unknown_table_is_reported_at_its_last_header() {
    let files = fixtures::folder(&[("10.toml", "[teem]\n"), ("20.toml", "\n[teem]\n")]);

    let rejection_reasons = rejection_reasons(&files);

    assert_eq!(rejection_reasons, ["20.toml:2: `teem` is not a known key"]);
}

#[test]
fn overridden_invalid_value_is_accepted() {
    let files = fixtures::folder(&[
        ("10.toml", "[limits]\nmax_queued = 0\n"),
        ("20.toml", "[limits]\nmax_queued = 900\n"),
    ]);

    let settings =
        settings::check_folder(&files).expect("the last file overrides the invalid value");

    assert_eq!(settings.limits.max_queued, 900);
}

#[test]
fn token_shared_by_two_teams_is_rejected_at_the_second() {
    let one = format!("[teams.a]\ntoken_sha256 = [\"{}\"]\n", hash('1'));
    let two = format!(
        "[teams.b]\ntoken_sha256 = [\n\"{}\",\n\"{}\"]\n",
        hash('2'),
        hash('1')
    );
    let files = fixtures::folder(&[("10.toml", &one), ("20.toml", &two)]);

    let rejection_reasons = rejection_reasons(&files);

    let text = "20.toml:4: `teams.b.token_sha256` has a hash that team `a` has already";
    assert_eq!(rejection_reasons, [text]);
}

#[test]
fn hash_of_the_empty_token_is_rejected() {
    let empty = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";
    let text = format!("[teams.a]\ntoken_sha256 = [\"{empty}\"]\n");
    let files = fixtures::folder(&[("10.toml", &text)]);

    let rejection_reasons = rejection_reasons(&files);

    assert_eq!(
        rejection_reasons,
        ["10.toml:2: `teams.a.token_sha256` has the hash of the empty token"]
    );
}

#[rstest]
#[case::plain("10-limits.toml", true)]
#[case::dots("a.b_c-d.toml", true)]
#[case::longest(&format!("{}.toml", "a".repeat(59)), true)]
#[case::too_long(&format!("{}.toml", "a".repeat(60)), false)]
#[case::upper("A.toml", false)]
#[case::hidden(".a.toml", false)]
#[case::no_stem(".toml", false)]
#[case::other("a.tml", false)]
#[case::path("a/b.toml", false)]
#[case::up("../a.toml", false)]
#[case::empty("", false)]
#[case::accent("é.toml", false)]
fn file_name_is_validated(#[case] name: &str, #[case] is_valid: bool) {
    let files = fixtures::folder(&[(name, "")]);

    let result = settings::check_folder(&files);

    assert_eq!(check::is_file_name(name), is_valid);
    let code = result.err().map(|problems| problems[0].code);
    assert_eq!(code, (!is_valid).then_some(codes::Code::SettingsBadName));
}

#[test]
fn size_limits_are_inclusive() {
    let comment = |bytes: usize| format!("#{}", "x".repeat(bytes - 1));
    let many = |count: usize, bytes: usize| -> merge::Files {
        let name = |i| smol_str::format_smolstr!("{i}.toml");
        (0..count).map(|i| (name(i), comment(bytes))).collect()
    };
    let code = |files: merge::Files| settings::check_folder(&files).err().map(|p| p[0].code);

    let max_size_file = code(many(1, ranges::MAX_FILE_BYTES));
    let oversized_file = code(many(1, ranges::MAX_FILE_BYTES + 1));
    let max_files = code(many(ranges::MAX_FILES, 1));
    let too_many_files = code(many(ranges::MAX_FILES + 1, 1));
    let max_size_folder = code(many(8, ranges::MAX_FILE_BYTES - 16));
    let oversized_folder = code(many(8, ranges::MAX_FILE_BYTES));

    assert_eq!([max_size_file, max_files, max_size_folder], [None; 3]);
    let too_large = Some(codes::Code::SettingsTooLarge);
    assert_eq!(
        [oversized_file, too_many_files, oversized_folder],
        [too_large; 3]
    );
}

// Guards against a stack overflow: if the depth were not limited before recursion, a file
// with thousands of nested levels would crash every process on the same record, and again
// after each restart.
#[rstest]
#[case::arrays("a = ", "[")]
#[case::inline_tables("a = ", "{a=")]
#[case::dotted_keys("", "a.")]
#[case::header("[", "a.")]
fn deep_nesting_is_rejected(#[case] start: &str, #[case] level: &str) {
    let mut text = String::from(start);
    while text.len() < ranges::MAX_FILE_BYTES - 16 {
        text.push_str(level);
    }
    write!(text, "a").expect("writing to a string succeeds");
    text.push_str(if start == "[" { "]" } else { " = 1" });
    let files = fixtures::folder(&[("10.toml", &text)]);

    let problems = settings::check_folder(&files).expect_err("the nesting is too deep");

    assert_eq!(problems[0].code, codes::Code::SettingsSyntax);
}
