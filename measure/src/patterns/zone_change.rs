//! An availability zone goes out of service and comes back.

use std::collections;
use std::fs;
use std::path;

use smol_str::SmolStr;

use bulrushtiller::settings;

use crate::patterns;
use crate::report;
use crate::sim;
use crate::workload;

/// When operators take the zone out, milliseconds.
pub const OUT_MS: u64 = 10_000;

/// When they bring it back, milliseconds.
pub const BACK_MS: u64 = 25_000;

/// End of the arrivals, milliseconds.
pub const END_MS: u64 = 40_000;

/// End of the window after the return, milliseconds.
const AFTER_MS: u64 = BACK_MS + 5_000;

/// How a cold server is slowed down, and for how long after the return,
/// milliseconds.
const COLD: (f64, u64) = (4.0, 3_000);

const TEAMS: &[&str] = &["escola", "oficina"];

/// What one run over a zone change came to; goodput is over what the slots in service
/// can do, or over what arrives where that is less.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    /// Jobs that arrive while the zone is out, and the work of the others then.
    pub while_out: report::Figures,
    /// Jobs that arrive afterwards, and all work of the first five seconds.
    pub after_return: report::Figures,
}

/// Jobs that take such a part of the slots of the zones that remain.
pub fn jobs(site: &sim::Site, load: f64, seed: u64) -> Vec<workload::Job> {
    let part = load * remaining(site) / site.capacity() / TEAMS.len() as f64;
    let stream = |team: &&str| patterns::stream(site, team, part, (0, END_MS), (1, 8), (50, 1_000));
    let streams: Vec<_> = TEAMS.iter().map(stream).collect();
    workload::draw(&streams, seed)
}

/// The zone that leaves.
fn leaving(site: &sim::Site) -> SmolStr {
    site.zones[1].clone()
}

fn remaining(site: &sim::Site) -> f64 {
    let zone = leaving(site);
    let stay = (0..site.runners).filter(|runner| *site.zone(*runner) != zone);
    stay.count() as f64 * f64::from(site.slots)
}

/// How the zone's servers are when they come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Return {
    /// As they were.
    Warm,
    /// Slow for the first seconds, as after a restart.
    Cold,
}

fn faults(site: &sim::Site, back: Return) -> Vec<sim::Fault> {
    let mut faults = vec![
        sim::Fault::ZoneOut {
            at_ms: OUT_MS,
            zone: leaving(site),
        },
        sim::Fault::ZoneIn {
            at_ms: BACK_MS,
            zone: leaving(site),
        },
    ];
    if back == Return::Cold {
        faults.extend(slow_at_first(site));
    }
    faults
}

fn slow_at_first(site: &sim::Site) -> Vec<sim::Fault> {
    let zone = leaving(site);
    let (factor, span_ms) = COLD;
    let of_zone = (0..site.runners).filter(|runner| *site.zone(*runner) == zone);
    let pair = |runner| {
        let slow = sim::Fault::Slow {
            at_ms: BACK_MS,
            runner,
            factor,
        };
        let at_ms = BACK_MS + span_ms;
        [slow, sim::Fault::Well { at_ms, runner }]
    };
    of_zone.flat_map(pair).collect()
}

/// Runs one policy over the change.
pub fn change(
    site: &sim::Site,
    settings: &settings::Settings,
    jobs: &[workload::Job],
    (load, back): (f64, Return),
    seed: u64,
) -> Change {
    let outcome = sim::run(site, settings, jobs, &faults(site, back), seed);
    judge(site, jobs, &outcome, load)
}

fn judge(site: &sim::Site, jobs: &[workload::Job], outcome: &sim::Outcome, load: f64) -> Change {
    let zone = leaving(site);
    let stays = |work: &sim::Work| *site.zone(work.runner) != zone;
    let figures = |from_ms, to_ms, capacity| {
        let span = from_ms * 1_000..to_ms * 1_000;
        let is_judged = |job: &workload::Job| span.contains(&job.at_us);
        report::figures(site, jobs, outcome, (from_ms, to_ms), capacity, is_judged)
    };
    let out = (OUT_MS, BACK_MS);
    let after = (BACK_MS, AFTER_MS);
    let mut while_out = figures(OUT_MS, BACK_MS, remaining(site));
    while_out.goodput = done(outcome, out, stays) / possible(jobs, out, remaining(site), load);
    let mut after_return = figures(BACK_MS, END_MS, site.capacity());
    let possible = possible(jobs, after, site.capacity(), load);
    after_return.goodput = done(outcome, after, |_| true) / possible;
    Change {
        while_out,
        after_return,
    }
}

fn possible(jobs: &[workload::Job], span_ms: (u64, u64), slots: f64, load: f64) -> f64 {
    let most = (span_ms.1 - span_ms.0) as f64 * slots;
    if load >= 1.0 {
        return most;
    }
    arrived(jobs, span_ms).min(most)
}

fn arrived(jobs: &[workload::Job], span_ms: (u64, u64)) -> f64 {
    let span = span_ms.0 * 1_000..span_ms.1 * 1_000;
    let within = jobs.iter().filter(|job| span.contains(&job.at_us));
    within
        .flat_map(|job| &job.run_ms)
        .map(|run_ms| f64::from(*run_ms))
        .sum()
}

fn done(outcome: &sim::Outcome, span_ms: (u64, u64), counts: impl Fn(&sim::Work) -> bool) -> f64 {
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

/// The settings that a deployment ships, with the teams of the runs.
pub fn shipped(name: &str) -> settings::Settings {
    let folder = path::Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../examples")
        .join(name);
    let files: collections::BTreeMap<SmolStr, String> = fs::read_dir(&folder)
        .unwrap_or_else(|e| unreachable!("{}: {e}", folder.display()))
        .filter_map(|found| read(&found.ok()?.path()))
        .collect();
    let checked = settings::check_folder(&files);
    let mut settings = checked.unwrap_or_else(|e| unreachable!("{name}: {e:?}"));
    settings.teams = patterns::settings(TEAMS).teams;
    settings
}

fn read(path: &path::Path) -> Option<(SmolStr, String)> {
    let name = SmolStr::new(path.file_name()?.to_str()?);
    Some((name, fs::read_to_string(path).ok()?))
}

/// Both shipped settings, both without the ramp, and the naive version.
fn table(site: &sim::Site, load: f64, back: Return, seed: u64) -> Vec<patterns::Row> {
    let jobs = jobs(site, load, seed);
    let mut rows = Vec::new();
    for name in ["taipa", "formulario"] {
        let mut settings = shipped(name);
        let ours = change(site, &settings, &jobs, (load, back), seed);
        rows.push((format!("settings of {name}"), ours));
        settings.policy.ramp_ms = 0;
        let off = change(site, &settings, &jobs, (load, back), seed);
        rows.push((format!("settings of {name}, no ramp"), off));
    }
    let naive = sim::naive::run(site, &jobs, &faults(site, back), seed);
    let naive = judge(site, &jobs, &naive, load);
    rows.push(("naive, heeds no zone".to_owned(), naive));
    rows.into_iter().flat_map(two_rows).collect()
}

fn two_rows((name, change): (String, Change)) -> [patterns::Row; 2] {
    [
        (format!("{name}: while out"), change.while_out),
        (format!("{name}: after return"), change.after_return),
    ]
}

/// The zone comes back as it was.
pub fn warm(site: &sim::Site, load: f64, seed: u64) -> Vec<patterns::Row> {
    table(site, load, Return::Warm, seed)
}

/// The zone's servers are slow at first.
pub fn cold(site: &sim::Site, load: f64, seed: u64) -> Vec<patterns::Row> {
    table(site, load, Return::Cold, seed)
}
