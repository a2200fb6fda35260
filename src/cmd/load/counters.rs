//! Counters from the entries' metrics, read before and after a load.

use std::time;

use smol_str::SmolStr;

use crate::client;
use crate::client::http;
use crate::cmd::load::tally;

const WASTED: &str = "bulrushtiller_wasted_messages_total";
const STARTED: &str = "bulrushtiller_tasks_started_total";
const PASSED_ON: &str = "bulrushtiller_passed_on_total";
const FORWARDED: &str = "bulrushtiller_submissions_forwarded_total";

/// Timeout of a call for the metrics of one entry.
const METRICS_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Counters, summed over the entries and over their labels.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counters {
    wasted: f64,
    started: f64,
    passed_on: f64,
    forwarded: f64,
}

impl Counters {
    /// Reads the counters; `None` if an entry does not answer, since a partial sum is misleading.
    pub async fn read(http: &client::Http, entries: &[SmolStr]) -> Option<Self> {
        let mut sum = Self::default();
        for address in entries {
            let call = http::Call::get(address, "/metrics", METRICS_TIMEOUT);
            let reply = http.call(call).await.ok().filter(http::Reply::is_ok)?;
            let counters = Self::parse(&reply.text());
            sum.wasted += counters.wasted;
            sum.started += counters.started;
            sum.passed_on += counters.passed_on;
            sum.forwarded += counters.forwarded;
        }
        Some(sum)
    }

    /// Parses metrics in the Prometheus text format.
    pub fn parse(text: &str) -> Self {
        Self {
            wasted: sum_of(text, WASTED),
            started: sum_of(text, STARTED),
            passed_on: sum_of(text, PASSED_ON),
            forwarded: sum_of(text, FORWARDED),
        }
    }

    /// Returns the wasted messages since `before`.
    ///
    /// The counters of an entry that restarted meanwhile are lower than before; a negative
    /// difference counts as 0.
    pub fn since(self, before: Self) -> tally::Wasted {
        let messages = (self.wasted - before.wasted).max(0.0);
        let tasks = (self.started - before.started).max(0.0);
        tally::Wasted {
            messages,
            tasks,
            per_task: (tasks > 0.0).then(|| messages / tasks),
        }
    }

    /// Returns the submissions that were sent on since `before`; a negative difference counts
    /// as 0.
    pub fn sent_on_since(self, before: Self) -> tally::SentOn {
        tally::SentOn {
            passed_on: (self.passed_on - before.passed_on).max(0.0),
            forwarded: (self.forwarded - before.forwarded).max(0.0),
        }
    }
}

fn sum_of(text: &str, name: &str) -> f64 {
    text.lines().filter_map(|line| value_of(line, name)).sum()
}

/// Returns the value of a line `NAME VALUE` or `NAME{LABELS} VALUE` if it has the given name.
fn value_of(line: &str, name: &str) -> Option<f64> {
    let rest = line.strip_prefix(name)?;
    if !rest.starts_with([' ', '{']) {
        return None;
    }
    let after_labels = rest.rsplit_once('}').map_or(rest, |(_labels, value)| value);
    after_labels.split_whitespace().next()?.parse().ok()
}
