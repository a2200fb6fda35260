//! Scenarios of the leased world, read from TOML files.

use std::fs;
use std::ops;

use bulrushtiller::leased::dispatch::watching;
use bulrushtiller::leased::queues;
use quick_error::quick_error;
use rand::SeedableRng as _;
use rand::seq::SliceRandom as _;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use smol_str::SmolStr;

use crate::ceiling;
use crate::leased::faults;
use crate::leased::site;
use crate::leased::workload;
use crate::leased::world;

/// Length of the windows of the upper bound, in milliseconds.
const WINDOW_MS: u64 = 2_000;

/// The same, as a step between the starts of windows.
const WINDOW_STEP: usize = 2_000;

/// Largest number of entries, runners, calls per second and seconds of a scenario.
const MAX_COUNT: f64 = 100_000.0;

quick_error! {
    /// Why a scenario can't be used.
    #[derive(Debug)]
    pub enum ScenarioError {
        /// The file can't be read.
        Read(file: String, e: std::io::Error) {
            source(e)
            display("{file}: {e}")
        }
        /// The file is not TOML, or has unknown or missing keys.
        Parse(file: String, e: toml::de::Error) {
            source(e)
            display("{file}: {e}")
        }
        /// A value is out of range.
        Value(file: String, key: String, value: String, expected: &'static str) {
            display("{file}: {key} = {value}: expected {expected}")
        }
    }
}

/// Scenario before validation.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawScenario {
    seconds: f64,
    #[serde(default)]
    wave: RawWave,
    site: RawSite,
    kinds: Vec<RawKind>,
    #[serde(default)]
    bursts: Vec<RawBurst>,
    #[serde(default)]
    servers: Vec<RawServers>,
    #[serde(default)]
    entries_lost: Vec<RawEntryLost>,
}

#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawWave {
    swing: f64,
    period_s: f64,
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawSite {
    entries: usize,
    runners: usize,
    zones: usize,
    latency_ms: u64,
    cores: Vec<f64>,
    speeds: Vec<f64>,
    #[serde(default)]
    unanswered_in_thousand: u32,
    #[serde(default = "default_watch_set")]
    watch_set: usize,
    #[serde(default)]
    early_refusal: bool,
}

const fn default_watch_set() -> usize {
    watching::DEFAULT_SET_SIZE
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawKind {
    name: SmolStr,
    priority: u32,
    per_s: f64,
    tasks: f64,
    cores: f64,
    run_ms: f64,
    worth: f64,
    spread: f64,
    cores_spread: f64,
    uneven: f64,
    estimate_error: f64,
    #[serde(default)]
    tail_share: f64,
    #[serde(default = "default_tail_factor")]
    tail_factor: f64,
    stretch: f64,
    target_ms: u64,
    timeout_ms: u64,
    max_attempts: u32,
}

const fn default_tail_factor() -> f64 {
    1.0
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawBurst {
    at_s: f64,
    for_s: f64,
    factor: f64,
    kind: Option<SmolStr>,
    zone: Option<SmolStr>,
}

#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawHow {
    Slow,
    Fails,
    Hangs,
    Leaves,
}

#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawServers {
    how: RawHow,
    at_s: f64,
    for_s: f64,
    share: f64,
    #[serde(default = "default_factor")]
    factor: f64,
}

const fn default_factor() -> f64 {
    4.0
}

#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawEntryLost {
    at_s: f64,
    entry: usize,
}

/// Checked scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The site.
    pub site: site::Site,
    /// The calls that callers will send.
    pub offered: workload::Offered,
    /// Worth of an answer in time, by kind.
    pub worth: Vec<f64>,
    servers: Vec<RawServers>,
    entries_lost: Vec<RawEntryLost>,
}

impl Scenario {
    /// Reads and checks a scenario.
    pub fn read(path: &str) -> Result<Self, ScenarioError> {
        let text = fs::read_to_string(path).map_err(|e| ScenarioError::Read(path.to_owned(), e))?;
        Self::parse(path, &text)
    }

    /// Checks a scenario; `file` names it in errors.
    pub fn parse(file: &str, text: &str) -> Result<Self, ScenarioError> {
        let raw: RawScenario =
            toml::from_str(text).map_err(|e| ScenarioError::Parse(file.to_owned(), e))?;
        Checker { file }.check(raw)
    }

    /// Draws the faults from a seed.
    pub fn faults(&self, seed: u64) -> Vec<faults::Fault> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut all = Vec::new();
        for raw in &self.servers {
            let mut runners: Vec<_> = (0..self.site.runners).collect();
            runners.shuffle(&mut rng);
            runners.truncate(count(raw.share, self.site.runners));
            all.extend(runners.into_iter().map(|runner| raw.fault(runner)));
        }
        let lost = self.entries_lost.iter().map(|raw| faults::Fault::Crash {
            at_ms: ms(raw.at_s),
            entry: raw.entry,
        });
        all.extend(lost);
        all
    }

    /// Plays the scenario with the calls and faults of a seed.
    pub fn play(&self, seed: u64) -> (world::World, Vec<world::Call>) {
        let queues = self.offered.kinds.iter().map(|kind| kind.queue.clone());
        let mut world = world::World::with_queues(self.site.clone(), queues.collect());
        let arrivals = self.offered.draw(&self.site, seed);
        let calls = world.run_with_faults(&arrivals, self.faults(seed));
        (world, calls)
    }

    /// Returns the share of the worth of these calls that a dispatcher with perfect knowledge
    /// could serve in time; see [`ceiling`].
    pub fn ceiling(&self, calls: &[world::Call], seed: u64) -> f64 {
        let faults = self.faults(seed);
        let first_ms = calls.first().map_or(0, |call| call.arrived_ms);
        let kinds = self.offered.kinds.iter().zip(&self.worth);
        let kinds: Vec<_> = kinds
            .map(|(kind, &worth)| ceiling::Kind {
                worth,
                core_s: mean_core_s(calls, &kind.queue.name),
            })
            .collect();
        let window = |from_ms: u64| {
            let span = from_ms..from_ms + WINDOW_MS;
            let offered = self.offered.kinds.iter().map(|kind| {
                let is_here = |call: &&world::Call| {
                    call.queue == kind.queue.name && span.contains(&(call.arrived_ms - first_ms))
                };
                calls.iter().filter(is_here).count() as f64
            });
            ceiling::Window {
                seconds: WINDOW_MS as f64 / 1_000.0,
                cores: self.sound_cores(&faults, &span),
                down_s: 0.0,
                calls: offered.collect(),
            }
        };
        let day = ceiling::Day {
            windows: (0..self.offered.duration_ms)
                .step_by(WINDOW_STEP)
                .map(window)
                .collect(),
            kinds,
        };
        ceiling::total(&ceiling::day(&day)).share()
    }

    /// Returns the cores of the sound backend servers in the middle of a span, by their speeds.
    fn sound_cores(&self, faults: &[faults::Fault], span: &ops::Range<u64>) -> f64 {
        let middle_ms = world::WARM_UP_MS + u64::midpoint(span.start, span.end);
        let cores = (0..self.site.runners).map(|at| {
            let fault = faults
                .iter()
                .find_map(|fault| fault.of_server(middle_ms, at));
            let speed = match fault {
                None => self.site.speed(at),
                Some(faults::ServerFault::Slow(factor)) => self.site.speed(at) / factor,
                Some(_) => 0.0,
            };
            f64::from(self.site.size_milli(at)) / 1_000.0 * speed
        });
        cores.sum()
    }
}

fn mean_core_s(calls: &[world::Call], queue: &str) -> f64 {
    let of_kind = || calls.iter().filter(|call| call.queue == queue);
    of_kind().map(|call| call.core_s).sum::<f64>() / of_kind().count().max(1) as f64
}

impl RawServers {
    fn fault(self, runner: usize) -> faults::Fault {
        let how = match self.how {
            RawHow::Slow => faults::ServerFault::Slow(self.factor),
            RawHow::Fails => faults::ServerFault::Fails,
            RawHow::Hangs => faults::ServerFault::Hangs,
            RawHow::Leaves => faults::ServerFault::Leaves,
        };
        faults::Fault::Server {
            runner,
            how,
            at_ms: world::WARM_UP_MS + ms(self.at_s),
            until_ms: world::WARM_UP_MS + ms(self.at_s + self.for_s),
        }
    }
}

/// Checks the values of one file.
struct Checker<'a> {
    file: &'a str,
}

impl Checker<'_> {
    fn check(&self, raw: RawScenario) -> Result<Scenario, ScenarioError> {
        self.positive("seconds", raw.seconds)?;
        self.ratio("wave.swing", raw.wave.swing)?;
        let site = self.site(&raw.site)?;
        let mut kinds = Vec::new();
        let mut worth = Vec::new();
        for (at, kind) in raw.kinds.iter().enumerate() {
            kinds.push(self.kind(at, kind)?);
            worth.push(kind.worth);
        }
        let known = |name: &SmolStr| raw.kinds.iter().any(|kind| kind.name == *name);
        let mut bursts = Vec::new();
        for (at, burst) in raw.bursts.iter().enumerate() {
            let key = |field| format!("bursts[{at}].{field}");
            self.positive(&key("for_s"), burst.for_s)?;
            self.positive(&key("factor"), burst.factor)?;
            if let Some(kind) = burst.kind.as_ref().filter(|kind| !known(kind)) {
                return Err(self.error(&key("kind"), kind, "the name of a kind"));
            }
            bursts.push(burst.checked());
        }
        for (at, servers) in raw.servers.iter().enumerate() {
            self.ratio(&format!("servers[{at}].share"), servers.share)?;
            self.positive(&format!("servers[{at}].factor"), servers.factor)?;
        }
        for (at, lost) in raw.entries_lost.iter().enumerate() {
            if lost.entry >= site.entries {
                let key = format!("entries_lost[{at}].entry");
                return Err(self.error(&key, &lost.entry, "the index of an entry"));
            }
        }
        Ok(Scenario {
            offered: workload::Offered {
                kinds,
                duration_ms: ms(raw.seconds),
                wave: workload::Wave {
                    swing: raw.wave.swing,
                    period_ms: raw.wave.period_s * 1_000.0,
                },
                bursts,
            },
            site,
            worth,
            servers: raw.servers,
            entries_lost: raw.entries_lost,
        })
    }

    fn site(&self, raw: &RawSite) -> Result<site::Site, ScenarioError> {
        for (key, value) in [
            ("site.entries", raw.entries),
            ("site.runners", raw.runners),
            ("site.zones", raw.zones),
            ("site.watch_set", raw.watch_set),
        ] {
            self.positive(key, value as f64)?;
        }
        for (key, values) in [("site.cores", &raw.cores), ("site.speeds", &raw.speeds)] {
            if values.is_empty() {
                return Err(self.error(key, &"[]", "at least one number"));
            }
            for value in values {
                self.positive(key, *value)?;
            }
        }
        Ok(site::Site {
            unanswered_in_thousand: raw.unanswered_in_thousand.min(1_000),
            entries: raw.entries,
            runners: raw.runners,
            zones: raw.zones,
            latency_ms: raw.latency_ms,
            sizes_milli: raw.cores.iter().map(|&cores| milli(cores)).collect(),
            speeds: raw.speeds.clone(),
            watch_set: raw.watch_set,
            early_refusal: raw.early_refusal,
            ..site::Site::default()
        })
    }

    fn kind(&self, at: usize, raw: &RawKind) -> Result<workload::Kind, ScenarioError> {
        let key = |field| format!("kinds[{at}].{field}");
        for (field, value) in [
            ("per_s", raw.per_s),
            ("tasks", raw.tasks),
            ("cores", raw.cores),
            ("run_ms", raw.run_ms),
            ("tail_factor", raw.tail_factor),
            ("stretch", raw.stretch),
        ] {
            self.positive(&key(field), value)?;
        }
        for (field, value) in [
            ("spread", raw.spread),
            ("cores_spread", raw.cores_spread),
            ("uneven", raw.uneven),
            ("estimate_error", raw.estimate_error),
            ("tail_share", raw.tail_share),
        ] {
            self.ratio(&key(field), value)?;
        }
        Ok(workload::Kind {
            queue: queues::Queue {
                name: raw.name.clone(),
                priority: raw.priority,
                stretch: raw.stretch,
                target_ms: raw.target_ms,
                timeout_ms: raw.timeout_ms,
                max_attempts: raw.max_attempts,
                ..workload::checks()
            },
            per_s: raw.per_s,
            tasks: spread(raw.tasks, raw.spread),
            task_milli: spread(raw.cores * 1_000.0, raw.cores_spread),
            run_ms: spread(raw.run_ms, raw.spread),
            uneven: raw.uneven,
            estimate_error: raw.estimate_error,
            tail: workload::Tail {
                share: raw.tail_share,
                factor: raw.tail_factor,
            },
        })
    }

    fn positive(&self, key: &str, value: f64) -> Result<(), ScenarioError> {
        let is_valid = value > 0.0 && value <= MAX_COUNT;
        is_valid
            .then_some(())
            .ok_or_else(|| self.error(key, &value, "a number above 0, at most 100000"))
    }

    fn ratio(&self, key: &str, value: f64) -> Result<(), ScenarioError> {
        let is_valid = (0.0..=1.0).contains(&value);
        is_valid
            .then_some(())
            .ok_or_else(|| self.error(key, &value, "a number from 0 to 1"))
    }

    fn error(&self, key: &str, value: &impl ToString, expected: &'static str) -> ScenarioError {
        ScenarioError::Value(
            self.file.to_owned(),
            key.to_owned(),
            value.to_string(),
            expected,
        )
    }
}

impl RawBurst {
    fn checked(&self) -> workload::Burst {
        workload::Burst {
            from_ms: ms(self.at_s),
            until_ms: ms(self.at_s + self.for_s),
            factor: self.factor,
            queue: self.kind.clone(),
            zone: self.zone.clone(),
        }
    }
}

const fn spread(mean: f64, sigma: f64) -> workload::Spread {
    workload::Spread::LogNormal { mean, sigma }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "checked to be small and not negative"
)]
fn ms(seconds: f64) -> u64 {
    (seconds * 1_000.0) as u64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "checked to be small and positive"
)]
fn milli(cores: f64) -> u32 {
    (cores * 1_000.0) as u32
}

/// Returns a share of a number of things, rounded.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "checked to be small and not negative"
)]
fn count(share: f64, of: usize) -> usize {
    (share * of as f64).round() as usize
}
