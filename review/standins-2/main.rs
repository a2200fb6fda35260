//! Plays the scripts of this review: `scenario CASE RECORD`. With `TROUBLE=0` it does the same without the disruption.

mod busy;
mod cut_cancel;
mod late_copy;
mod suspended;
mod thawed;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    /// The case couldn't run.
    NotRun(String),
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let case = args.next().unwrap_or_default();
    let record = PathBuf::from(args.next().unwrap_or_else(|| "record.txt".to_owned()));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (log, verdict) = match case.as_str() {
        "busy" => busy::play(has_trouble),
        "cut-cancel" => cut_cancel::play(has_trouble),
        "late-copy" => late_copy::play(has_trouble),
        "thawed" => thawed::play(has_trouble),
        "suspended" => suspended::play(has_trouble),
        _ => {
            eprintln!("scenario CASE RECORD");
            return ExitCode::from(2);
        }
    };
    let code = match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun(why) => {
            log.add(format!("not run: {why}"));
            2
        }
    };
    log.add(format!("exit {code}"));
    log.write(&record);
    ExitCode::from(code)
}
