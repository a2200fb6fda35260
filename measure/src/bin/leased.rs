//! Plays scenarios of the leased world: `leased SCENARIO... [--seeds N] [--save FILE]
//! [--compare FILE]`, see `measure/scenarios`.

use std::fs;
use std::process;

use bulrushtiller_measure::leased::scenario;
use bulrushtiller_measure::leased::tally;
use serde::Deserialize;
use serde::Serialize;

const USAGE: &str = "\
Plays scenarios of jobs under leases with the decisions of this build.

Usage: leased SCENARIO... [--seeds N] [--save FILE] [--compare FILE]

--seeds N       plays seeds 1 to N of each scenario (default 3)
--save FILE     writes the figures to a file
--compare FILE  shows the figures that another build saved beside these

The figures show decisions only. Processor time, connections, the store and the adapter are not
simulated.
";

/// Figures of one kind of calls in one scenario.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
struct Row {
    scenario: String,
    kind: String,
    calls: u32,
    in_time: f64,
    late: f64,
    refused: f64,
    refused_beside_room: f64,
    failed: f64,
    /// Median wait before a refusal.
    refusal_wait_ms: u64,
    /// Share in time of the tenth with the most work.
    largest_in_time: f64,
}

/// Figures of one scenario.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
struct Total {
    scenario: String,
    worth: f64,
    ceiling: f64,
    wasted_core_s: f64,
    orders_per_start: f64,
}

#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
struct Figures {
    rows: Vec<Row>,
    totals: Vec<Total>,
}

fn main() -> process::ExitCode {
    match run() {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("leased: {why}");
            process::ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut args = pico_args::Arguments::from_env();
    let text = |e: pico_args::Error| e.to_string();
    let seeds: u64 = args
        .opt_value_from_str("--seeds")
        .map_err(text)?
        .unwrap_or(3);
    let save: Option<String> = args.opt_value_from_str("--save").map_err(text)?;
    let compare: Option<String> = args.opt_value_from_str("--compare").map_err(text)?;
    let paths = args.finish();
    if paths.is_empty() || seeds == 0 {
        print!("{USAGE}");
        return Ok(());
    }
    let mut figures = Figures::default();
    for path in paths {
        let path = path.to_string_lossy();
        let scenario = scenario::Scenario::read(&path).map_err(|e| e.to_string())?;
        measure(&path, &scenario, seeds, &mut figures);
    }
    let other = compare.map(|path| load(&path)).transpose()?;
    print(&figures, other.as_ref());
    if let Some(path) = save {
        let json = serde_json::to_string_pretty(&figures).map_err(|e| e.to_string())?;
        fs::write(&path, json).map_err(|e| format!("{path}: {e}"))?;
    }
    Ok(())
}

fn load(path: &str) -> Result<Figures, String> {
    let text = fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
    serde_json::from_str(&text).map_err(|e| format!("{path}: {e}"))
}

/// Plays all seeds of a scenario and adds its figures.
fn measure(path: &str, scenario: &scenario::Scenario, seeds: u64, figures: &mut Figures) {
    let kinds = &scenario.offered.kinds;
    let mut tallies = vec![tally::Tally::default(); kinds.len()];
    let mut total = Total {
        scenario: path.to_owned(),
        worth: 0.0,
        ceiling: 0.0,
        wasted_core_s: 0.0,
        orders_per_start: 0.0,
    };
    for seed in 1..=seeds {
        let (world, calls) = scenario.play(seed);
        let (mut earned, mut offered) = (0.0, 0.0);
        for (at, kind) in kinds.iter().enumerate() {
            let tally = tally::Tally::of(&calls, &kind.queue.name);
            earned += scenario.worth[at] * f64::from(tally.in_time);
            offered += scenario.worth[at] * f64::from(tally.total);
            tallies[at] = std::mem::take(&mut tallies[at]).plus(tally);
        }
        let of_seeds = seeds as f64;
        total.worth += earned / offered / of_seeds;
        total.ceiling += scenario.ceiling(&calls, seed) / of_seeds;
        total.wasted_core_s += world.wasted_core_s / of_seeds;
        total.orders_per_start += world.orders_per_start() / of_seeds;
    }
    for (kind, tally) in kinds.iter().zip(tallies) {
        figures.rows.push(row(path, &kind.queue.name, &tally));
    }
    figures.totals.push(total);
}

fn row(path: &str, kind: &str, tally: &tally::Tally) -> Row {
    let share = |count: u32| f64::from(count) / f64::from(tally.total.max(1));
    Row {
        scenario: path.to_owned(),
        kind: kind.to_owned(),
        calls: tally.total,
        in_time: tally.share(),
        late: share(tally.late),
        refused: share(tally.not_run),
        refused_beside_room: share(tally.not_run_beside_room),
        failed: share(tally.failed),
        refusal_wait_ms: tally.median_refusal_wait_ms(),
        largest_in_time: tally.largest_share(),
    }
}

fn print(figures: &Figures, other: Option<&Figures>) {
    println!(
        "| scenario | kind | calls | in time | late | refused | refused beside room | failed | median wait before a refusal, ms | largest tenth in time |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for row in &figures.rows {
        println!("{}", format_row(row, ""));
        let same = |before: &&Row| before.scenario == row.scenario && before.kind == row.kind;
        if let Some(before) = other.and_then(|other| other.rows.iter().find(same)) {
            println!("{}", format_row(before, " (compared)"));
        }
    }
    println!();
    println!(
        "| scenario | worth in time | ceiling | work thrown away, core-s | runs ordered a start |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for total in &figures.totals {
        println!("{}", format_total(total, ""));
        let same = |before: &&Total| before.scenario == total.scenario;
        if let Some(before) = other.and_then(|other| other.totals.iter().find(same)) {
            println!("{}", format_total(before, " (compared)"));
        }
    }
}

fn format_row(row: &Row, mark: &str) -> String {
    format!(
        "| {}{mark} | {} | {} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {} | {:.3} |",
        row.scenario,
        row.kind,
        row.calls,
        row.in_time,
        row.late,
        row.refused,
        row.refused_beside_room,
        row.failed,
        row.refusal_wait_ms,
        row.largest_in_time
    )
}

fn format_total(total: &Total, mark: &str) -> String {
    format!(
        "| {}{mark} | {:.3} | {:.3} | {:.0} | {:.2} |",
        total.scenario, total.worth, total.ceiling, total.wasted_core_s, total.orders_per_start
    )
}
