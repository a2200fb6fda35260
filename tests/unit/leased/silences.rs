use std::net;

use bulrushtiller::leased::silences;
use rstest::rstest;

fn address(last: u8) -> net::IpAddr {
    net::IpAddr::from([127, 0, 0, last])
}

/// Guards against a request that was held up in a cut link and is taken for one of now, and against a
/// wait where requests keep arriving.
#[rstest]
#[case::steady(&[0, 1_000, 2_000, 3_000, 4_000], false)]
#[case::after_a_silence(&[0, 1_000, 2_000, 3_000, 5_900], true)]
#[case::retransmitted_after_a_silence(&[0, 1_000, 4_000, 4_100, 9_000, 9_100], true)]
#[case::long_after_a_silence(&[0, 2_900, 4_000, 5_000, 6_000, 7_000, 8_000, 9_000], false)]
fn request_may_be_late_after_a_silence(#[case] arrivals_ms: &[u64], #[case] expected: bool) {
    let mut silences = silences::Silences::default();
    let mut may_be_late = false;

    for at_ms in arrivals_ms {
        may_be_late = silences.record(10_000 + at_ms, address(1));
        silences.record(10_000 + at_ms, address(2));
    }

    assert_eq!(may_be_late, expected);
}
