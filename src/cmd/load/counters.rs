//! Counters of the entries, read before and after a load.

use std::time;

use smol_str::SmolStr;

use crate::client;
use crate::client::http;
use crate::cmd::load::tally;

const WASTED: &str = "bulrushtiller_wasted_messages_total";
const STARTED: &str = "bulrushtiller_tasks_started_total";
const PASSED_ON: &str = "bulrushtiller_passed_on_total";
const FORWARDED: &str = "bulrushtiller_submissions_forwarded_total";

/// Longest wait for one entry's metrics.
const METRICS_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// The counters, summed over the entries and over their labels.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counters {
    wasted: f64,
    started: f64,
    passed_on: f64,
    forwarded: f64,
}

impl Counters {
    /// Reads them; `None` when an entry does not answer, since half a sum misleads.
    pub async fn read(http: &client::Http, entries: &[SmolStr]) -> Option<Self> {
        let mut sum = Self::default();
        for address in entries {
            let call = http::Call::get(address, "/metrics", METRICS_TIMEOUT);
            let reply = http.call(call).await.ok().filter(http::Reply::is_ok)?;
            let one = Self::parse(&reply.text());
            sum.wasted += one.wasted;
            sum.started += one.started;
            sum.passed_on += one.passed_on;
            sum.forwarded += one.forwarded;
        }
        Some(sum)
    }

    /// Reads the Prometheus text format.
    pub fn parse(text: &str) -> Self {
        Self {
            wasted: sum_of(text, WASTED),
            started: sum_of(text, STARTED),
            passed_on: sum_of(text, PASSED_ON),
            forwarded: sum_of(text, FORWARDED),
        }
    }

    /// What was added since `before`; an entry that was replaced meanwhile shows as less,
    /// which counts as nothing.
    pub fn since(self, before: Self) -> tally::Wasted {
        let messages = (self.wasted - before.wasted).max(0.0);
        let tasks = (self.started - before.started).max(0.0);
        tally::Wasted {
            messages,
            tasks,
            per_task: (tasks > 0.0).then(|| messages / tasks),
        }
    }

    /// Submissions that were sent on since `before`, likewise.
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

/// The value on a line, if it is one of the metric: `NAME VALUE` or `NAME{LABELS} VALUE`.
fn value_of(line: &str, name: &str) -> Option<f64> {
    let rest = line.strip_prefix(name)?;
    if !rest.starts_with([' ', '{']) {
        return None;
    }
    let after_labels = rest.rsplit_once('}').map_or(rest, |(_labels, value)| value);
    after_labels.split_whitespace().next()?.parse().ok()
}
