//! A team at several times its share, beside a team well below its own share.

use crate::patterns;
use crate::report;
use crate::sim;
use crate::workload;

const SPAN_MS: (u64, u64) = (0, 20_000);
const WINDOW_MS: (u64, u64) = (3_000, 20_000);
/// Load of the well-behaved team, whose share is half of the slots.
const BEHAVED_LOAD: f64 = 0.3;
/// Load of the hot team, six times its share of one half.
const HOT_LOAD: f64 = 3.0;

/// Reports the well-behaved team's jobs, alone and beside the hot team.
pub fn run(site: &sim::Site, _load: f64, seed: u64) -> Vec<patterns::Row> {
    let mut behaved = patterns::stream(site, "escola", BEHAVED_LOAD, SPAN_MS, (1, 4), (50, 1_000));
    behaved.kind = "visit".into();
    let hot = patterns::stream(site, "hot", HOT_LOAD, SPAN_MS, (1, 20), (50, 1_000));
    let alone = workload::draw(std::slice::from_ref(&behaved), seed);
    let both = workload::draw(&[behaved, hot], seed);
    let settings = patterns::settings(&["escola", "hot"]);
    let is_behaved = |job: &workload::Job| job.team == "escola";
    let row = |name: &str, jobs: &[workload::Job], outcome: &sim::Outcome| {
        let capacity = site.capacity();
        let figures = report::figures(site, jobs, outcome, WINDOW_MS, capacity, is_behaved);
        (name.to_owned(), figures)
    };
    let ours = |jobs| sim::run(site, &settings, jobs, &[], seed);
    let unforwarded = patterns::without_forwarding(settings.clone());
    let separate = sim::run(site, &unforwarded, &both, &[], seed);
    let single_entry = patterns::one_entry(site);
    let central = sim::run(&single_entry, &settings, &both, &[], seed);
    let single_team = patterns::as_one_team(&both);
    let first_come = sim::run(
        site,
        &patterns::first_come_first_served(),
        &single_team,
        &[],
        seed,
    );
    vec![
        row("ours, alone", &alone, &ours(&alone)),
        row("ours, beside the hot one", &both, &ours(&both)),
        row(
            "each entry for itself, beside the hot one",
            &both,
            &separate,
        ),
        row(
            "one entry that sees all, beside the hot one",
            &both,
            &central,
        ),
        row("no teams, beside the hot one", &both, &first_come),
        row(
            "naive, beside the hot one",
            &both,
            &sim::naive::run(site, &both, &[], seed),
        ),
    ]
}
