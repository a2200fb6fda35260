//! Formats audit events as text.

use std::time;

use smol_str::SmolStr;

use crate::audit;
use crate::audit::event;
use crate::cli;
use crate::settings::record;

/// Last millisecond of the year 9999; later times are not shown.
const MAX_SHOWN_MS: u64 = 253_402_300_799_999;

/// Formats an event: one line, and one more for each changed key or problem.
pub fn text(event: &audit::Event) -> String {
    let mut lines = vec![first_line(event)];
    match event {
        audit::Event::Accepted {
            changed, unlisted, ..
        } => {
            lines.extend(changed.iter().map(|key| format!("    {key}")));
            lines.extend(unlisted_line(*unlisted));
        }
        audit::Event::Rejected {
            problems, unlisted, ..
        } => {
            lines.extend(problems.iter().map(|problem| format!("    {problem}")));
            lines.extend(unlisted_line(*unlisted));
        }
        _ => {}
    }
    let printable = lines.iter().map(|line| printable(line));
    printable.collect::<Vec<_>>().join("\n")
}

fn first_line(event: &audit::Event) -> String {
    match event {
        audit::Event::Accepted { made, .. } => format!("{}  accepted", describe(made)),
        audit::Event::Rejected { made, code, .. } => {
            format!("{}  rejected: {code}", describe(made))
        }
        audit::Event::Repeated { made, first } => {
            let (offset, code) = (first.offset, first.code);
            format!("{}  repeats the change at {offset}: {code}", describe(made))
        }
        audit::Event::RevertAttempt {
            offered_by,
            offset,
            time_ms,
            offered,
            in_force,
        } => {
            let shown_offset = cli::out::cell(*offset);
            let time = show_time(time_ms.unwrap_or(0));
            let offered = record::show_revision(*offered);
            let in_force = record::show_revision(*in_force);
            format!(
                "{shown_offset}  {time}  {offered_by}  offered revision {offered}, {in_force} stays"
            )
        }
        audit::Event::InForce {
            process,
            zone,
            revision,
            time_ms,
        } => {
            let time = show_time(*time_ms);
            let revision = record::show_revision(*revision);
            format!("{revision}  {time}  in force at {process} in {zone}")
        }
    }
}

fn describe(made: &event::ChangeInfo) -> String {
    let show_text = |text: &SmolStr| cli::out::cell(Some(text).filter(|text| !text.is_empty()));
    let action = if made.removed { "remove" } else { "put" };
    let time = show_time(made.time_ms);
    let (author, file) = (show_text(&made.author), show_text(&made.file));
    format!("{}  {time}  {author}  {action} {file}", made.offset)
}

fn unlisted_line(unlisted: usize) -> Option<String> {
    (unlisted > 0).then(|| format!("    and {unlisted} more"))
}

/// Replaces control characters, on which a terminal would act.
fn printable(text: &str) -> String {
    text.chars()
        .map(|c| if c.is_control() { '?' } else { c })
        .collect()
}

fn show_time(unix_ms: u64) -> String {
    if unix_ms == 0 || unix_ms > MAX_SHOWN_MS {
        return "-".to_owned();
    }
    let time = time::UNIX_EPOCH + time::Duration::from_millis(unix_ms);
    humantime::format_rfc3339_millis(time).to_string()
}
