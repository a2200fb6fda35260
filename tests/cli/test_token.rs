//! Tests of `token hash`.

use rstest::rstest;

use super::workdir;

const SHA256_OF_ABC: &str = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";

#[test]
fn argument_is_hashed() {
    let dir = workdir::Workdir::new();

    let run = dir.run(&["token", "hash", "abc"]);

    assert_eq!((run.status, run.stdout.trim()), (0, SHA256_OF_ABC));
}

#[rstest]
#[case::without_line_end("abc")]
#[case::with_line_end("abc\n")]
#[case::with_carriage_return("abc\r\n")]
fn first_line_of_input_is_hashed(#[case] input: &str) {
    let dir = workdir::Workdir::new();

    let run = dir.run_with_input(&["token", "hash", "--json"], input);

    assert_eq!(run.json()["token_sha256"], SHA256_OF_ABC);
}

#[rstest]
#[case::empty("")]
#[case::blank("two words")]
#[case::not_ascii("señal")]
fn token_invalid_in_a_header_is_rejected(#[case] token: &str) {
    let dir = workdir::Workdir::new();

    let run = dir.run(&["token", "hash", token]);

    assert_eq!((run.status, run.stdout.as_str()), (2, ""));
}
