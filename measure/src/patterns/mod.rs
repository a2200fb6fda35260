//! The load patterns, one module each.

pub mod burst;
pub mod cancel_wave;
pub mod entry_lost;
pub mod far_off;
pub mod hot_caller;
pub mod long_among_short;
pub mod overload;
pub mod placement;
pub mod retry_storm;
pub mod servers;
pub mod sizes;
pub mod steady;
pub mod stragglers;
pub mod zone_change;

use smol_str::SmolStr;

use bulrushtiller::settings;

use crate::report;
use crate::sim;
use crate::workload;

/// Settings with these teams, each of weight 1.
pub fn settings(teams: &[&str]) -> settings::Settings {
    let mut settings = settings::Settings::default();
    for team in teams {
        settings
            .teams
            .insert(SmolStr::new(team), settings::Team::default());
    }
    settings
}

/// A stream of jobs that takes this part of the site's slots.
pub fn stream(
    site: &sim::Site,
    team: &str,
    load: f64,
    span_ms: (u64, u64),
    tasks: (u32, u32),
    run_ms: (u32, u32),
) -> workload::Stream {
    let mut stream = workload::Stream {
        team: SmolStr::new(team),
        kind: SmolStr::new_static("check"),
        rate: 0.0,
        span_ms,
        tasks,
        run_ms,
        is_declared: true,
        deadline_ms: None,
    };
    stream.rate = load * site.capacity() * 1_000.0 / stream.mean_job_ms();
    stream
}

/// The team under which [`as_one_team`] puts all jobs.
const ONE_TEAM: &str = "all";

/// The same jobs as of one team, so that nothing is shared between teams.
pub fn as_one_team(jobs: &[workload::Job]) -> Vec<workload::Job> {
    let mut jobs = jobs.to_vec();
    for job in &mut jobs {
        job.team = SmolStr::new_static(ONE_TEAM);
    }
    jobs
}

/// Settings under which [`as_one_team`]'s jobs go first come, first served.
pub fn first_come() -> settings::Settings {
    let mut settings = settings(&[ONE_TEAM]);
    settings.policy.age_ms = 0;
    settings
}

/// The same jobs, each of a kind of its own, so that nothing is learned.
pub fn unlearned(jobs: &[workload::Job]) -> Vec<workload::Job> {
    let mut jobs = jobs.to_vec();
    for (number, job) in jobs.iter_mut().enumerate() {
        job.kind = smol_str::format_smolstr!("{}-{number}", job.kind);
    }
    jobs
}

/// The same settings without admission: no bound on the wait or the queues.
pub fn unbounded(mut settings: settings::Settings) -> settings::Settings {
    settings.policy.max_queue_wait_ms = u32::MAX;
    settings.limits.max_queued = u32::MAX;
    settings.limits.max_submissions = u32::MAX;
    for team in settings.teams.values_mut() {
        team.max_queued = u32::MAX;
    }
    settings
}

/// The same site with one entry that sees all slots and orders all work: what no
/// way of sharing them between entries can beat.
pub fn one_entry(site: &sim::Site) -> sim::Site {
    sim::Site {
        entries: 1,
        ..site.clone()
    }
}

/// The same settings without a leading entry: nothing is passed on.
pub fn each_for_itself(mut settings: settings::Settings) -> settings::Settings {
    settings.policy.pass_on_below = 0.0;
    settings
}

/// A named version and its figures.
pub type Row = (String, report::Figures);

/// A load pattern: runs at a site with a load, as a part of its slots, and a seed.
pub type Pattern = fn(&sim::Site, f64, u64) -> Vec<Row>;

/// All patterns by name.
pub const ALL: &[(&str, Pattern)] = &[
    ("steady", steady::run),
    ("burst", burst::run),
    ("hot-caller", hot_caller::run),
    ("long-among-short", long_among_short::run),
    ("overload", overload::run),
    ("cancel-wave", cancel_wave::run),
    ("far-off", far_off::run),
    ("placement", placement::run),
    ("slow-server", servers::slow),
    ("fails-all", servers::fails_all),
    ("frozen-server", servers::frozen),
    ("stuck-server", servers::stuck),
    ("zone-change", zone_change::warm),
    ("cold-zone", zone_change::cold),
    ("entry-lost", entry_lost::run),
    ("retry-storm", retry_storm::run),
    ("sizes", sizes::run),
    ("stragglers", stragglers::run),
];

/// Finds a pattern by its name.
pub fn find(name: &str) -> Option<Pattern> {
    let found = ALL.iter().find(|(known, _)| *known == name);
    found.map(|(_, pattern)| *pattern)
}
