//! Metrics in the Prometheus text format.

use prometheus_client::collector;
use prometheus_client::encoding;
use prometheus_client::encoding::EncodeMetric as _;
use prometheus_client::metrics::counter;
use prometheus_client::metrics::gauge;
use prometheus_client::registry;

/// Whether a metric only grows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// It only grows.
    Counter,
    /// It goes up and down.
    Gauge,
}

/// One metric as it stands.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Name without the common prefix and without `_total`.
    pub name: &'static str,
    /// What it counts.
    pub help: &'static str,
    /// Counter or gauge.
    pub kind: Kind,
    /// Its value.
    pub value: u64,
}

impl Sample {
    /// A counter.
    pub const fn counter(name: &'static str, help: &'static str, value: u64) -> Self {
        Self {
            name,
            help,
            kind: Kind::Counter,
            value,
        }
    }

    /// A gauge.
    pub const fn gauge(name: &'static str, help: &'static str, value: u64) -> Self {
        Self {
            name,
            help,
            kind: Kind::Gauge,
            value,
        }
    }
}

/// Prefix of every metric's name.
pub const PREFIX: &str = "bulrushtiller";

#[derive(Debug)]
struct Samples(Vec<Sample>);

impl collector::Collector for Samples {
    fn encode(&self, mut encoder: encoding::DescriptorEncoder) -> Result<(), std::fmt::Error> {
        for sample in &self.0 {
            encode_sample(&mut encoder, sample)?;
        }
        Ok(())
    }
}

fn encode_sample(
    encoder: &mut encoding::DescriptorEncoder,
    sample: &Sample,
) -> Result<(), std::fmt::Error> {
    match sample.kind {
        Kind::Counter => {
            let metric = counter::ConstCounter::new(sample.value);
            let kind = metric.metric_type();
            metric.encode(encoder.encode_descriptor(sample.name, sample.help, None, kind)?)
        }
        Kind::Gauge => {
            let value = i64::try_from(sample.value).unwrap_or(i64::MAX);
            let metric = gauge::ConstGauge::new(value);
            let kind = metric.metric_type();
            metric.encode(encoder.encode_descriptor(sample.name, sample.help, None, kind)?)
        }
    }
}

/// The text for `GET /metrics`.
pub fn render(samples: Vec<Sample>) -> Result<String, std::fmt::Error> {
    let mut registry = registry::Registry::with_prefix(PREFIX);
    registry.register_collector(Box::new(Samples(samples)));
    let mut text = String::new();
    encoding::text::encode(&mut text, &registry)?;
    Ok(text)
}

/// The answer to `GET /metrics`.
pub fn page(samples: Vec<Sample>) -> actix_web::HttpResponse {
    match render(samples) {
        Ok(text) => actix_web::HttpResponse::Ok()
            .content_type("application/openmetrics-text; version=1.0.0; charset=utf-8")
            .body(text),
        Err(e) => {
            log::error!(event = "metrics.unwritable"; "{e}");
            actix_web::HttpResponse::InternalServerError().finish()
        }
    }
}
