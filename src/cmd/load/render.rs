//! Formats the figures of a load as text.

use crate::cmd::load::plan;
use crate::cmd::load::tally;
use crate::codes;

/// Formats all figures, one per line.
pub fn render(plan: &plan::Plan, report: &tally::Report) -> String {
    let mut lines = vec![
        format!(
            "load         {} jobs/s of {} tasks, {}, seed {}",
            plan.rate, plan.job_size, plan.mix, plan.seed
        ),
        format!("jobs         {} in {:.1} s", report.jobs, report.seconds),
    ];
    lines.extend(
        report
            .by_code
            .iter()
            .map(|(code, count)| code_line("answered", *code, *count)),
    );
    lines.extend(
        report
            .unanswered
            .iter()
            .map(|(code, count)| code_line("unanswered", *code, *count)),
    );
    lines.push(format!("not sent     {}", report.not_sent));
    lines.push(format!("repeats      {}", report.repeats));
    lines.push(report.over_ideal.map_or_else(
        || "over ideal   no job was complete".to_owned(),
        |over| {
            format!(
                "over ideal   p50 {:.3}  p90 {:.3}  p99 {:.3}  max {:.3}",
                over.p50, over.p90, over.p99, over.max
            )
        },
    ));
    lines.push(format!(
        "completed    {:.0} task ms/s",
        report.completed_task_ms_per_s
    ));
    lines.extend(
        report
            .goodput
            .map(|goodput| format!("goodput      {goodput:.3} of capacity")),
    );
    lines.push(wasted_line(report.wasted));
    lines.extend(report.sent_on.map(sent_on_line));
    lines.join("\n") + "\n"
}

fn code_line(what: &str, code: u16, count: u64) -> String {
    let text = codes::Code::try_from(code).map_or("", codes::Code::text);
    format!("{what:<12} {count} with {code} ({text})")
}

fn sent_on_line(sent_on: tally::SentOn) -> String {
    let (passed_on, forwarded) = (sent_on.passed_on, sent_on.forwarded);
    format!(
        "sent on      {passed_on} to the leading entry, {forwarded} to the entry of their ticket"
    )
}

fn wasted_line(wasted: Option<tally::Wasted>) -> String {
    let Some(wasted) = wasted else {
        return "wasted       unknown, the metrics of an entry could not be read".to_owned();
    };
    let (messages, tasks) = (wasted.messages, wasted.tasks);
    let ratio = wasted
        .per_task
        .map_or_else(|| "-".to_owned(), |ratio| format!("{ratio:.4}"));
    format!("wasted       {ratio} messages per task ({messages} for {tasks})")
}
