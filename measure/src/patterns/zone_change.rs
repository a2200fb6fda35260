//! An availability zone is taken out of service and returned.

use std::collections;
use std::fs;
use std::path;

use smol_str::SmolStr;

use bulrushtiller::settings;

use crate::patterns;
use crate::report;
use crate::sim;
use crate::workload;

/// Time at which operators take the zone out of service, milliseconds.
pub const OUT_MS: u64 = 10_000;

/// Time at which operators return the zone to service, milliseconds.
pub const RETURN_MS: u64 = 25_000;

/// End of arrivals, milliseconds.
pub const END_MS: u64 = 40_000;

/// End of the goodput window after the return, milliseconds.
const AFTER_MS: u64 = RETURN_MS + 5_000;

/// Run-time factor of a cold backend server, and how long after the return it applies,
/// in milliseconds.
const COLD_SLOWDOWN: (f64, u64) = (4.0, 3_000);

const TEAMS: &[&str] = &["escola", "oficina"];

/// Figures of one run over a zone change. Goodput is relative to the work that the
/// slots in service can do, or to the work that arrives if that is less.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    /// Jobs that arrive while the zone is out; goodput counts the work of the other
    /// zones.
    pub while_out: report::Figures,
    /// Jobs that arrive after the return; goodput counts all work of the first five
    /// seconds.
    pub after_return: report::Figures,
}

/// Draws jobs whose load is the given fraction of the slots in the remaining zones.
pub fn jobs(site: &sim::Site, load: f64, seed: u64) -> Vec<workload::Job> {
    let stream_load = load * remaining(site) / site.capacity() / TEAMS.len() as f64;
    let stream =
        |team: &&str| patterns::stream(site, team, stream_load, (0, END_MS), (1, 8), (50, 1_000));
    let streams: Vec<_> = TEAMS.iter().map(stream).collect();
    workload::draw(&streams, seed)
}

/// Returns the zone that is taken out of service.
fn removed_zone(site: &sim::Site) -> SmolStr {
    site.zones[1].clone()
}

fn remaining(site: &sim::Site) -> f64 {
    let zone = removed_zone(site);
    let staying = (0..site.runners).filter(|runner| *site.zone(*runner) != zone);
    staying.count() as f64 * f64::from(site.slots)
}

/// State of the zone's backend servers when they return.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReturnState {
    /// Same speed as before.
    Warm,
    /// Slow for the first seconds, as after a restart.
    Cold,
}

fn faults(site: &sim::Site, returning: ReturnState) -> Vec<sim::Fault> {
    let mut faults = vec![
        sim::Fault::ZoneOut {
            at_ms: OUT_MS,
            zone: removed_zone(site),
        },
        sim::Fault::ZoneIn {
            at_ms: RETURN_MS,
            zone: removed_zone(site),
        },
    ];
    if returning == ReturnState::Cold {
        faults.extend(cold_start(site));
    }
    faults
}

fn cold_start(site: &sim::Site) -> Vec<sim::Fault> {
    let zone = removed_zone(site);
    let (factor, span_ms) = COLD_SLOWDOWN;
    let zone_runners = (0..site.runners).filter(|runner| *site.zone(*runner) == zone);
    let pair = |runner| {
        let slow = sim::Fault::Slow {
            at_ms: RETURN_MS,
            runner,
            factor,
        };
        let at_ms = RETURN_MS + span_ms;
        [slow, sim::Fault::Recovered { at_ms, runner }]
    };
    zone_runners.flat_map(pair).collect()
}

/// Runs one set of settings over the zone change.
pub fn run_change(
    site: &sim::Site,
    settings: &settings::Settings,
    jobs: &[workload::Job],
    (load, returning): (f64, ReturnState),
    seed: u64,
) -> Change {
    let outcome = sim::run(site, settings, jobs, &faults(site, returning), seed);
    evaluate(site, jobs, &outcome, load)
}

fn evaluate(site: &sim::Site, jobs: &[workload::Job], outcome: &sim::Outcome, load: f64) -> Change {
    let zone = removed_zone(site);
    let stays = |work: &sim::Work| *site.zone(work.runner) != zone;
    let figures = |from_ms, to_ms, capacity| {
        let span = from_ms * 1_000..to_ms * 1_000;
        let is_counted = |job: &workload::Job| span.contains(&job.at_us);
        report::figures(site, jobs, outcome, (from_ms, to_ms), capacity, is_counted)
    };
    let out = (OUT_MS, RETURN_MS);
    let after = (RETURN_MS, AFTER_MS);
    let mut while_out = figures(OUT_MS, RETURN_MS, remaining(site));
    while_out.goodput =
        done_ms(outcome, out, stays) / attainable_ms(jobs, out, remaining(site), load);
    let mut after_return = figures(RETURN_MS, END_MS, site.capacity());
    let attainable = attainable_ms(jobs, after, site.capacity(), load);
    after_return.goodput = done_ms(outcome, after, |_| true) / attainable;
    Change {
        while_out,
        after_return,
    }
}

fn attainable_ms(jobs: &[workload::Job], span_ms: (u64, u64), slots: f64, load: f64) -> f64 {
    let max_ms = (span_ms.1 - span_ms.0) as f64 * slots;
    if load >= 1.0 {
        return max_ms;
    }
    arrived_ms(jobs, span_ms).min(max_ms)
}

fn arrived_ms(jobs: &[workload::Job], span_ms: (u64, u64)) -> f64 {
    let span = span_ms.0 * 1_000..span_ms.1 * 1_000;
    let in_span = jobs.iter().filter(|job| span.contains(&job.at_us));
    in_span
        .flat_map(|job| &job.run_ms)
        .map(|run_ms| f64::from(*run_ms))
        .sum()
}

fn done_ms(
    outcome: &sim::Outcome,
    span_ms: (u64, u64),
    counts: impl Fn(&sim::Work) -> bool,
) -> f64 {
    let span = span_ms.0 * 1_000..span_ms.1 * 1_000;
    let counted = outcome
        .work
        .iter()
        .filter(|work| span.contains(&work.at_us));
    counted
        .filter(|work| counts(work))
        .map(|work| f64::from(work.run_ms))
        .sum()
}

/// Loads the settings shipped for a deployment, with the teams replaced by those of the
/// runs.
pub fn shipped(name: &str) -> settings::Settings {
    let folder = path::Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../examples")
        .join(name);
    let files: collections::BTreeMap<SmolStr, String> = fs::read_dir(&folder)
        .unwrap_or_else(|e| unreachable!("{}: {e}", folder.display()))
        .filter_map(|found| read_file(&found.ok()?.path()))
        .collect();
    let checked = settings::check_folder(&files);
    let mut settings = checked.unwrap_or_else(|e| unreachable!("{name}: {e:?}"));
    settings.teams = patterns::settings(TEAMS).teams;
    settings
}

fn read_file(path: &path::Path) -> Option<(SmolStr, String)> {
    let name = SmolStr::new(path.file_name()?.to_str()?);
    Some((name, fs::read_to_string(path).ok()?))
}

/// Compares both shipped settings, each with and without the ramp, and the naive
/// dispatcher.
fn table(site: &sim::Site, load: f64, returning: ReturnState, seed: u64) -> Vec<patterns::Row> {
    let jobs = jobs(site, load, seed);
    let mut rows = Vec::new();
    for name in ["taipa", "formulario"] {
        let mut settings = shipped(name);
        let ours = run_change(site, &settings, &jobs, (load, returning), seed);
        rows.push((format!("settings of {name}"), ours));
        settings.policy.ramp_ms = 0;
        let without_ramp = run_change(site, &settings, &jobs, (load, returning), seed);
        rows.push((format!("settings of {name}, no ramp"), without_ramp));
    }
    let naive = sim::naive::run(site, &jobs, &faults(site, returning), seed);
    let naive = evaluate(site, &jobs, &naive, load);
    rows.push(("naive, heeds no zone".to_owned(), naive));
    rows.into_iter().flat_map(two_rows).collect()
}

fn two_rows((name, change): (String, Change)) -> [patterns::Row; 2] {
    [
        (format!("{name}: while out"), change.while_out),
        (format!("{name}: after return"), change.after_return),
    ]
}

/// Servers return at full speed.
pub fn warm(site: &sim::Site, load: f64, seed: u64) -> Vec<patterns::Row> {
    table(site, load, ReturnState::Warm, seed)
}

/// Servers are slow for the first seconds after their return.
pub fn cold(site: &sim::Site, load: f64, seed: u64) -> Vec<patterns::Row> {
    table(site, load, ReturnState::Cold, seed)
}
