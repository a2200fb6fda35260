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

#[test]
fn samples_of_one_name_share_a_description_and_differ_by_label() {
    let sample = |topic, count| {
        metrics::Sample::counter("store_calls", "Calls", count).with_labels(vec![("topic", topic)])
    };

    let text = metrics::render(vec![sample("members", 3), sample("settings", 4)]);

    let text = text.expect("the metrics are rendered");
    let described = text.matches("# TYPE bulrushtiller_store_calls counter");
    assert_eq!(described.count(), 1, "{text}");
    assert!(
        text.contains("bulrushtiller_store_calls_total{topic=\"members\"} 3"),
        "{text}"
    );
    assert!(
        text.contains("bulrushtiller_store_calls_total{topic=\"settings\"} 4"),
        "{text}"
    );
}
