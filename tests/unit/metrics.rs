//! The metrics' text.

use bulrushtiller::metrics;

#[test]
fn a_histogram_is_written_with_its_buckets() {
    let mut took = metrics::Histogram::default();
    for took_ms in [4, 60, 60, 20_000] {
        took.observe(took_ms);
    }

    let text = metrics::render(vec![metrics::Sample::histogram(
        "job_seconds",
        "Took",
        took,
    )]);

    let text = text.expect("written");
    assert!(text.contains("bulrushtiller_job_seconds_count 4"), "{text}");
    assert!(
        text.contains("bulrushtiller_job_seconds_bucket{le=\"0.1\"} 3"),
        "{text}"
    );
    assert!(text.contains("le=\"+Inf\"} 4"), "{text}");
}
