//! Metrics in the Prometheus text format.

use prometheus_client::collector;
use prometheus_client::encoding;
use prometheus_client::encoding::EncodeMetric as _;
use prometheus_client::metrics;
use prometheus_client::metrics::counter;
use prometheus_client::metrics::gauge;
use prometheus_client::registry;

/// Type of a metric.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A value that only increases.
    Counter,
    /// A value that can increase and decrease.
    Gauge,
    /// A distribution of durations, held in the sample's histogram.
    Histogram,
}

impl From<Kind> for metrics::MetricType {
    fn from(kind: Kind) -> Self {
        match kind {
            Kind::Counter => Self::Counter,
            Kind::Gauge => Self::Gauge,
            Kind::Histogram => Self::Histogram,
        }
    }
}

/// Upper bounds of a histogram's buckets, in milliseconds: from a one-way latency to the
/// longest wait.
pub const BUCKETS_MS: [u64; 12] = [
    5, 10, 25, 50, 100, 200, 400, 800, 1_500, 3_000, 6_000, 12_000,
];

/// Histogram of durations.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Histogram {
    buckets: [u64; BUCKETS_MS.len()],
    overflow: u64,
    sum_ms: u64,
}

impl Histogram {
    /// Adds one duration.
    pub fn observe(&mut self, duration_ms: u64) {
        match BUCKETS_MS
            .iter()
            .position(|&bound_ms| duration_ms <= bound_ms)
        {
            Some(index) => self.buckets[index] += 1,
            None => self.overflow += 1,
        }
        self.sum_ms += duration_ms;
    }

    /// Returns the buckets' upper bounds in seconds with their counts, the unbounded one last.
    fn bucket_counts(&self) -> Vec<(f64, u64)> {
        let seconds = |ms: u64| ms as f64 / 1_000.0;
        let bucket_counts = BUCKETS_MS.iter().zip(self.buckets);
        let mut bucket_counts: Vec<_> = bucket_counts
            .map(|(&ms, count)| (seconds(ms), count))
            .collect();
        bucket_counts.push((f64::MAX, self.overflow));
        bucket_counts
    }

    fn count(&self) -> u64 {
        self.buckets.iter().sum::<u64>() + self.overflow
    }
}

/// Label of a sample: its name and value.
pub type Label = (&'static str, &'static str);

/// One metric with its current value, or one of the values of a metric with labels.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Name without the common prefix and the `_total` suffix.
    pub name: &'static str,
    /// Labels that tell the samples of one name apart; such samples follow one another.
    pub labels: Vec<Label>,
    /// Help text.
    pub help: &'static str,
    /// Type of the metric.
    pub kind: Kind,
    /// Value of a counter or gauge.
    pub value: u64,
    /// Distribution of a histogram.
    pub histogram: Histogram,
}

impl Sample {
    /// Creates a counter.
    pub const fn counter(name: &'static str, help: &'static str, value: u64) -> Self {
        Self {
            name,
            labels: Vec::new(),
            help,
            kind: Kind::Counter,
            value,
            histogram: EMPTY_HISTOGRAM,
        }
    }

    /// Creates a gauge.
    pub const fn gauge(name: &'static str, help: &'static str, value: u64) -> Self {
        Self {
            name,
            labels: Vec::new(),
            help,
            kind: Kind::Gauge,
            value,
            histogram: EMPTY_HISTOGRAM,
        }
    }

    /// Creates a histogram.
    pub const fn histogram(name: &'static str, help: &'static str, histogram: Histogram) -> Self {
        Self {
            name,
            labels: Vec::new(),
            help,
            kind: Kind::Histogram,
            value: 0,
            histogram,
        }
    }

    /// Adds labels to a counter or gauge.
    #[must_use]
    pub fn with_labels(self, labels: Vec<Label>) -> Self {
        Self { labels, ..self }
    }
}

const EMPTY_HISTOGRAM: Histogram = Histogram {
    buckets: [0; BUCKETS_MS.len()],
    overflow: 0,
    sum_ms: 0,
};

/// Prefix of every metric's name.
pub const PREFIX: &str = "bulrushtiller";

#[derive(Debug)]
struct Samples(Vec<Sample>);

impl collector::Collector for Samples {
    fn encode(&self, mut encoder: encoding::DescriptorEncoder) -> Result<(), std::fmt::Error> {
        for family in self.0.chunk_by(|one, next| one.name == next.name) {
            encode_family(&mut encoder, family)?;
        }
        Ok(())
    }
}

/// Encodes the samples of one name.
fn encode_family(
    encoder: &mut encoding::DescriptorEncoder,
    family: &[Sample],
) -> Result<(), std::fmt::Error> {
    let Some(first) = family.first() else {
        return Ok(());
    };
    let kind = metrics::MetricType::from(first.kind);
    let mut encoder = encoder.encode_descriptor(first.name, first.help, None, kind)?;
    if first.labels.is_empty() {
        return encode_value(encoder, first);
    }
    for sample in family {
        encode_value(encoder.encode_family(&sample.labels)?, sample)?;
    }
    Ok(())
}

fn encode_value(
    mut encoder: encoding::MetricEncoder<'_>,
    sample: &Sample,
) -> Result<(), std::fmt::Error> {
    match sample.kind {
        Kind::Counter => counter::ConstCounter::new(sample.value).encode(encoder),
        Kind::Histogram => {
            let histogram = &sample.histogram;
            let sum = histogram.sum_ms as f64 / 1_000.0;
            encoder.encode_histogram::<encoding::NoLabelSet>(
                sum,
                histogram.count(),
                &histogram.bucket_counts(),
                None,
            )
        }
        Kind::Gauge => {
            let value = i64::try_from(sample.value).unwrap_or(i64::MAX);
            gauge::ConstGauge::new(value).encode(encoder)
        }
    }
}

/// Renders metrics in the `OpenMetrics` text format.
pub fn render(samples: Vec<Sample>) -> Result<String, std::fmt::Error> {
    let mut registry = registry::Registry::with_prefix(PREFIX);
    registry.register_collector(Box::new(Samples(samples)));
    let mut text = String::new();
    encoding::text::encode(&mut text, &registry)?;
    Ok(text)
}

/// Returns the response to `GET /metrics`.
pub fn response(samples: Vec<Sample>) -> actix_web::HttpResponse {
    match render(samples) {
        Ok(text) => actix_web::HttpResponse::Ok()
            .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
            .body(text),
        Err(e) => {
            log::error!(event = "metrics.unwritable"; "cannot encode the metrics, answering with status 500: {e}");
            actix_web::HttpResponse::InternalServerError().finish()
        }
    }
}
