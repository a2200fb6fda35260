//! Metrics of an entry.

use crate::control;
use crate::leased::cancels;
use crate::leased::dispatch;
use crate::leased::entry;
use crate::metrics;

impl actix::Handler<control::GetMetrics> for entry::Control {
    type Result = actix::MessageResult<control::GetMetrics>;

    fn handle(&mut self, _message: control::GetMetrics, _cx: &mut Self::Context) -> Self::Result {
        let mut samples = self.parts.traffic.entry_samples();
        samples.extend(job_samples(&self.dispatcher));
        samples.extend(runner_samples(&self.dispatcher, self.now_ms()));
        samples.extend(directives_samples(&self.dispatcher));
        samples.extend(self.handover.counts.samples(self.handover.levels()));
        samples.extend(cancel_samples(&self.cancels));
        samples.push(metrics::Sample::histogram(
            "tick_late_seconds",
            "How late time was looked at",
            self.tick_late,
        ));
        actix::MessageResult(samples)
    }
}

fn job_samples(dispatcher: &dispatch::Dispatcher) -> Vec<metrics::Sample> {
    let counts = dispatcher.counts();
    let counter = metrics::Sample::counter;
    let gauge = metrics::Sample::gauge;
    let late = "Jobs completed after their objective";
    let failed = "Jobs with a task that failed too often";
    let refused_early = "Jobs refused since they would not have been placed in time";
    let (open, waiting) = (dispatcher.open_jobs(), dispatcher.waiting_jobs());
    vec![
        counter("jobs_accepted", "Jobs taken in", counts.accepted),
        counter("jobs_completed", "Jobs completed", counts.completed),
        counter("jobs_late", late, counts.late),
        counter("jobs_failed", failed, counts.failed),
        counter("jobs_not_run", "Jobs refused without a run", counts.not_run),
        counter("jobs_refused_early", refused_early, counts.refused_early),
        counter(
            "jobs_given_up",
            "Jobs given up after a run",
            counts.given_up,
        ),
        counter(
            "jobs_cancelled",
            "Jobs whose callers left",
            counts.cancelled,
        ),
        counter("runs_ordered", "Runs ordered at runners", counts.ordered),
        counter(
            "runs_not_started",
            "Runs that a runner didn't start",
            counts.not_started,
        ),
        counter("runs_lost", "Runs that ended without a result", counts.lost),
        metrics::Sample::histogram("job_seconds", "How long completed jobs took", counts.took),
        gauge("jobs_open", "Jobs open", open as u64),
        gauge("jobs_waiting", "Jobs that wait for room", waiting as u64),
    ]
}

fn runner_samples(dispatcher: &dispatch::Dispatcher, now_ms: u64) -> Vec<metrics::Sample> {
    let gauge = metrics::Sample::gauge;
    let (known, watched) = (dispatcher.runners(), dispatcher.watched());
    let usable = dispatcher.usable(now_ms);
    vec![
        gauge("runners", "Runners known", known as u64),
        gauge(
            "runners_watched",
            "Runners with an open watch",
            watched as u64,
        ),
        gauge(
            "runners_usable",
            "Watched runners that take work",
            usable as u64,
        ),
    ]
}

fn directives_samples(dispatcher: &dispatch::Dispatcher) -> Vec<metrics::Sample> {
    let directives = dispatcher.directives();
    let noticed = directives.latest().get().version;
    vec![
        metrics::Sample::gauge(
            "directives_version",
            "Version of the configuration in force",
            directives.get().version,
        ),
        metrics::Sample::gauge(
            "directives_noticed_version",
            "Version of the configuration that was told of",
            noticed,
        ),
    ]
}

fn cancel_samples(cancels: &cancels::Cancels) -> Vec<metrics::Sample> {
    let counts = cancels.counts();
    let counter = metrics::Sample::counter;
    let rows = [
        (
            "cancels_forwarded",
            "Cancels of jobs that were not open here",
            counts.forwarded,
        ),
        (
            "cancels_held",
            "Of these, jobs that were open at an entry",
            counts.held,
        ),
        (
            "cancels_unknown",
            "Of these, jobs that were open nowhere",
            counts.unknown,
        ),
        (
            "cancels_unconfirmed",
            "Of these, answered before all entries were heard",
            counts.unconfirmed,
        ),
        (
            "cancels_early",
            "Jobs that arrived after their cancel",
            counts.early,
        ),
        (
            "cancels_undelivered",
            "Ids that an entry was not notified of in time",
            counts.undelivered,
        ),
        (
            "cancels_dropped",
            "Ids dropped because too many were kept",
            counts.dropped,
        ),
        (
            "cancel_messages",
            "Messages about cancels sent to other entries",
            counts.sent,
        ),
        (
            "cancel_messages_lost",
            "Of these, messages without an answer",
            counts.lost,
        ),
        (
            "cancel_relays",
            "Of these, messages that asked an entry to relay",
            counts.relayed,
        ),
    ];
    let mut samples = rows
        .map(|(name, help, count)| counter(name, help, count))
        .to_vec();
    samples.push(metrics::Sample::gauge(
        "cancels_kept",
        "Ids kept as cancelled",
        cancels.kept() as u64,
    ));
    samples
}
