//! Prints the upper bound of what a day can earn: `ceiling FILE`, see `measure/days`.

use std::fs;
use std::process;

use bulrushtiller_measure::ceiling;

fn run() -> Result<(), String> {
    let mut args = pico_args::Arguments::from_env();
    let path: String = args.free_from_str().map_err(|e| e.to_string())?;
    let text = fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    let day: ceiling::Day = serde_json::from_str(&text).map_err(|e| format!("{path}: {e}"))?;
    let windows = ceiling::day(&day);
    for (at, bound) in windows.iter().enumerate() {
        if bound.share() < 1.0 {
            println!("window {at}: {:.3}", bound.share());
        }
    }
    println!("whole day: {:.3}", ceiling::total(&windows).share());
    println!("worst two windows: {:.3}", ceiling::worst_two(&windows));
    Ok(())
}

fn main() -> process::ExitCode {
    match run() {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("ceiling: {why}");
            process::ExitCode::FAILURE
        }
    }
}
