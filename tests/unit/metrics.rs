//! Rendering of metrics.

use bulrushtiller::metrics;

#[test]
fn histogram_is_rendered_with_cumulative_buckets() {
    let mut durations = metrics::Histogram::default();
    for duration_ms in [4, 60, 60, 20_000] {
        durations.observe(duration_ms);
    }

    let text = metrics::render(vec![metrics::Sample::histogram(
        "job_seconds",
        "Took",
        durations,
    )]);

    let text = text.expect("the metrics are rendered");
    assert!(text.contains("bulrushtiller_job_seconds_count 4"), "{text}");
    assert!(
        text.contains("bulrushtiller_job_seconds_bucket{le=\"0.1\"} 3"),
        "{text}"
    );
    assert!(text.contains("le=\"+Inf\"} 4"), "{text}");
}
