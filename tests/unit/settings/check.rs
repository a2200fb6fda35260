//! What a folder may hold, and how a refusal names its place.

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

fn refusals(files: &merge::Files) -> Vec<String> {
    let problems = settings::check_folder(files).expect_err("the folder is bad");
    problems.iter().map(ToString::to_string).collect()
}

#[test]
fn empty_folder_is_the_defaults() {
    let files = fixtures::folder(&[]);

    let settings = settings::check_folder(&files).expect("nothing is wrong");

    assert_eq!(settings, settings::Settings::default());
}

#[test]
fn defaults_written_out_check_out() {
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
fn bad_file_is_refused_with_its_place(
    #[case] text: &str,
    #[case] code: codes::Code,
    #[case] line: u32,
) {
    let files = fixtures::folder(&[("10-good.toml", "[zones.x]\n"), ("20-bad.toml", text)]);

    let problems = settings::check_folder(&files).expect_err("the file is bad");

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
fn all_problems_are_listed_in_order() {
    let files = fixtures::folder(&[
        ("20.toml", "[limits]\nmax_queued = 0\nnone = 1\n"),
        ("10.toml", "[zones]\na = 1\n\n[policy]\nage_ms = \"x\"\n"),
    ]);

    let refusals = refusals(&files);

    let expected = [
        "10.toml:2: `zones.a` must be a table, not an integer",
        "10.toml:5: `policy.age_ms` must be an integer, not a string",
        "20.toml:2: `limits.max_queued` is 0; it must be from 1 to 1000000",
        "20.toml:3: `limits.none` is not a known key",
    ];
    assert_eq!(refusals, expected);
}

#[test]
fn relation_is_reported_where_it_was_set_last() {
    let files = fixtures::folder(&[
        ("10.toml", "[timeouts]\nfresh_ms = 900\n"),
        ("20.toml", "\n\n[timeouts]\nheartbeat_ms = 460\n"),
    ]);

    let refusals = refusals(&files);

    let text = "20.toml:4: `timeouts.fresh_ms` must be at least twice heartbeat_ms, or one lost \
                heartbeat stops all work";
    assert_eq!(refusals, [text]);
}

#[test]
fn table_is_reported_where_it_was_opened_last() {
    let files = fixtures::folder(&[("10.toml", "[teem]\n"), ("20.toml", "\n[teem]\n")]);

    let refusals = refusals(&files);

    assert_eq!(refusals, ["20.toml:2: `teem` is not a known key"]);
}

#[test]
fn overridden_fault_is_no_fault() {
    let files = fixtures::folder(&[
        ("10.toml", "[limits]\nmax_queued = 0\n"),
        ("20.toml", "[limits]\nmax_queued = 900\n"),
    ]);

    let settings = settings::check_folder(&files).expect("the last file settles it");

    assert_eq!(settings.limits.max_queued, 900);
}

#[test]
fn shared_token_is_refused_at_the_second_team() {
    let one = format!("[teams.a]\ntoken_sha256 = [\"{}\"]\n", hash('1'));
    let two = format!(
        "[teams.b]\ntoken_sha256 = [\n\"{}\",\n\"{}\"]\n",
        hash('2'),
        hash('1')
    );
    let files = fixtures::folder(&[("10.toml", &one), ("20.toml", &two)]);

    let refusals = refusals(&files);

    let text = "20.toml:4: `teams.b.token_sha256` has a hash that team `a` has already";
    assert_eq!(refusals, [text]);
}

#[test]
fn empty_token_opens_nothing() {
    let empty = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";
    let text = format!("[teams.a]\ntoken_sha256 = [\"{empty}\"]\n");
    let files = fixtures::folder(&[("10.toml", &text)]);

    let refusals = refusals(&files);

    assert_eq!(
        refusals,
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
fn file_names(#[case] name: &str, #[case] good: bool) {
    let files = fixtures::folder(&[(name, "")]);

    let result = settings::check_folder(&files);

    assert_eq!(check::is_file_name(name), good);
    let code = result.err().map(|problems| problems[0].code);
    assert_eq!(code, (!good).then_some(codes::Code::SettingsBadName));
}

#[test]
fn sizes_are_capped() {
    let comment = |bytes: usize| format!("#{}", "x".repeat(bytes - 1));
    let many = |count: usize, bytes: usize| -> merge::Files {
        let name = |i| smol_str::format_smolstr!("{i}.toml");
        (0..count).map(|i| (name(i), comment(bytes))).collect()
    };
    let code = |files: merge::Files| settings::check_folder(&files).err().map(|p| p[0].code);

    let largest_file = code(many(1, ranges::MAX_FILE_BYTES));
    let larger_file = code(many(1, ranges::MAX_FILE_BYTES + 1));
    let most_files = code(many(ranges::MAX_FILES, 1));
    let more_files = code(many(ranges::MAX_FILES + 1, 1));
    let large_folder = code(many(8, ranges::MAX_FILE_BYTES - 16));
    let larger_folder = code(many(8, ranges::MAX_FILE_BYTES));

    assert_eq!([largest_file, most_files, large_folder], [None; 3]);
    let refused = Some(codes::Code::SettingsTooLarge);
    assert_eq!([larger_file, more_files, larger_folder], [refused; 3]);
}

// An operator's script writes a file with thousands of nested levels. If depth were
// not bounded before recursion, every process of the deployment would overflow its
// stack on the same record, and again after each restart.
#[rstest]
#[case::arrays("a = ", "[")]
#[case::inline_tables("a = ", "{a=")]
#[case::dotted_keys("", "a.")]
#[case::header("[", "a.")]
fn deep_nesting_is_refused(#[case] start: &str, #[case] level: &str) {
    let mut text = String::from(start);
    while text.len() < ranges::MAX_FILE_BYTES - 16 {
        text.push_str(level);
    }
    write!(text, "a").expect("a string takes all");
    text.push_str(if start == "[" { "]" } else { " = 1" });
    let files = fixtures::folder(&[("10.toml", &text)]);

    let problems = settings::check_folder(&files).expect_err("it is too deep");

    assert_eq!(problems[0].code, codes::Code::SettingsSyntax);
}
