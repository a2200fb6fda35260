//! Load patterns, one module each.

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

/// Returns settings with the given teams, each of weight 1.
pub fn settings(teams: &[&str]) -> settings::Settings {
    let mut settings = settings::Settings::default();
    for team in teams {
        settings
            .teams
            .insert(SmolStr::new(team), settings::Team::default());
    }
    settings
}

/// Returns a job stream that takes the given fraction of the site's slots.
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

/// Team of all jobs returned by [`as_one_team`].
const ONE_TEAM: &str = "all";

/// Returns the jobs with a single team, which disables sharing between teams.
pub fn as_one_team(jobs: &[workload::Job]) -> Vec<workload::Job> {
    let mut jobs = jobs.to_vec();
    for job in &mut jobs {
        job.team = SmolStr::new_static(ONE_TEAM);
    }
    jobs
}

/// Returns settings that serve the jobs of [`as_one_team`] in order of arrival.
pub fn first_come_first_served() -> settings::Settings {
    let mut settings = settings(&[ONE_TEAM]);
    settings.policy.age_ms = 0;
    settings
}

/// Returns the jobs with a distinct kind for each, which disables learning by kind.
pub fn without_learning(jobs: &[workload::Job]) -> Vec<workload::Job> {
    let mut jobs = jobs.to_vec();
    for (number, job) in jobs.iter_mut().enumerate() {
        job.kind = smol_str::format_smolstr!("{}-{number}", job.kind);
    }
    jobs
}

/// Returns the settings without admission control: no limit on waits or queue lengths.
pub fn without_admission(mut settings: settings::Settings) -> settings::Settings {
    settings.policy.max_queue_wait_ms = u32::MAX;
    settings.limits.max_queued = u32::MAX;
    settings.limits.max_submissions = u32::MAX;
    for team in settings.teams.values_mut() {
        team.max_queued = u32::MAX;
    }
    settings
}

/// Returns the site with one entry that sees all slots and orders all work, as an upper
/// bound for any way of sharing work between entries.
pub fn one_entry(site: &sim::Site) -> sim::Site {
    sim::Site {
        entries: 1,
        ..site.clone()
    }
}

/// Returns the settings without a leading entry, so that no submission is forwarded.
pub fn without_forwarding(mut settings: settings::Settings) -> settings::Settings {
    settings.policy.pass_on_below = 0.0;
    settings
}

/// Name and figures of one variant.
pub type Row = (String, report::Figures);

/// Load pattern, called with a site, a load relative to its slots, and a seed.
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
    ("frozen-server", servers::suspended),
    ("stuck-server", servers::stuck),
    ("zone-change", zone_change::warm),
    ("cold-zone", zone_change::cold),
    ("entry-lost", entry_lost::run),
    ("retry-storm", retry_storm::run),
    ("sizes", sizes::run),
    ("stragglers", stragglers::run),
];

/// Finds a pattern by name.
pub fn find(name: &str) -> Option<Pattern> {
    let found = ALL.iter().find(|(known, _)| *known == name);
    found.map(|(_, pattern)| *pattern)
}
