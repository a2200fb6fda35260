//! Plan of a load: arrival times and tasks of the jobs, derived from a seed.

use std::fmt;
use std::str;
use std::time;

use rand::Rng as _;
use rand::SeedableRng as _;
use smol_str::SmolStr;

use crate::api;
use crate::cli;
use crate::ids;

/// Longest run time of a task in a mix.
const MAX_TASK_MS: u32 = 3_600_000;

/// Predefined mixes.
///
/// `short` and `long` are the run times in the requirements, "50 ms to a second" and "a few
/// take several seconds"; `mixed` has one long task in twenty.
const PRESETS: [(&str, &str); 3] = [
    ("short", "short=50..1000"),
    ("long", "long=2000..6000"),
    ("mixed", "short=50..1000@19,long=2000..6000@1"),
];

/// Part of a mix: tasks of one kind.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    /// Declared kind of the tasks.
    pub kind: SmolStr,
    /// Shortest run time in milliseconds; run times are uniform from `low_ms` to `high_ms`.
    pub low_ms: u32,
    /// Longest run time in milliseconds.
    pub high_ms: u32,
    /// Weight relative to the other parts.
    pub weight: u32,
}

/// Distribution of the kinds and run times of tasks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Mix {
    parts: Vec<Part>,
}

impl str::FromStr for Mix {
    type Err = cli::CliError;

    fn from_str(text: &str) -> cli::CliResult<Self> {
        let preset = PRESETS.iter().find(|(name, _spec)| *name == text);
        let spec = preset.map_or(text, |(_name, spec)| spec);
        let parts = spec.split(',').map(parse_part);
        Ok(Self {
            parts: parts.collect::<Result<_, _>>()?,
        })
    }
}

fn parse_part(text: &str) -> cli::CliResult<Part> {
    let invalid = || {
        let expected_form = "KIND=LOW..HIGH[@WEIGHT], 'short', 'long' or 'mixed'";
        cli::CliError::Usage(format!("'{text}' is not a mix: expected {expected_form}"))
    };
    let (kind, rest) = text.split_once('=').ok_or_else(invalid)?;
    let (range, weight) = rest.split_once('@').unwrap_or((rest, "1"));
    let (low, high) = range.split_once("..").ok_or_else(invalid)?;
    let number = |text: &str| text.parse::<u32>().map_err(|_err| invalid());
    let part = Part {
        kind: ids::check_name(kind)?,
        low_ms: number(low)?,
        high_ms: number(high)?,
        weight: number(weight)?,
    };
    let is_valid = part.low_ms <= part.high_ms && part.high_ms <= MAX_TASK_MS && part.weight > 0;
    if is_valid { Ok(part) } else { Err(invalid()) }
}

impl fmt::Display for Mix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let show = |part: &Part| {
            let Part {
                kind,
                low_ms,
                high_ms,
                weight,
            } = part;
            format!("{kind}={low_ms}..{high_ms}@{weight}")
        };
        let parts: Vec<String> = self.parts.iter().map(show).collect();
        f.write_str(&parts.join(","))
    }
}

impl Mix {
    /// Draws a random task.
    fn draw(&self, rng: &mut impl rand::Rng) -> api::Task {
        let total: u64 = self.parts.iter().map(|part| u64::from(part.weight)).sum();
        let mut draw_point = rng.random_range(0..total);
        let mut chosen = &self.parts[0];
        for part in &self.parts {
            chosen = part;
            if draw_point < u64::from(part.weight) {
                break;
            }
            draw_point -= u64::from(part.weight);
        }
        let run_ms = rng.random_range(chosen.low_ms..=chosen.high_ms);
        api::Task {
            kind: chosen.kind.clone(),
            payload: format!("{{\"sleep_ms\":{run_ms}}}"),
            run_ms,
            ..api::Task::default()
        }
    }
}

/// One job of the load.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Arrival time, from the start of the load.
    pub at: time::Duration,
    /// Tasks of the job.
    pub tasks: Vec<api::Task>,
}

impl Arrival {
    /// Returns the run time of the longest task, a lower bound of the response time.
    pub fn ideal_ms(&self) -> u32 {
        self.tasks.iter().map(|task| task.run_ms).max().unwrap_or(0)
    }
}

/// Parameters of a load.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Average number of jobs per second.
    pub rate: f64,
    /// Time during which jobs arrive.
    pub duration: time::Duration,
    /// Number of tasks per job.
    pub job_size: usize,
    /// Distribution of the tasks.
    pub mix: Mix,
    /// Seed of the arrival times and tasks.
    pub seed: u64,
}

impl Plan {
    /// Returns the jobs in order of arrival.
    ///
    /// The gaps between them have an exponential distribution, like those of many
    /// independent callers.
    pub fn arrivals(&self) -> impl Iterator<Item = Arrival> {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(self.seed);
        let mut at = time::Duration::ZERO;
        std::iter::from_fn(move || {
            let uniform: f64 = rng.random();
            at += time::Duration::from_secs_f64(-(1.0 - uniform).ln() / self.rate);
            let tasks = (0..self.job_size)
                .map(|_| self.mix.draw(&mut rng))
                .collect();
            (at < self.duration).then_some(Arrival { at, tasks })
        })
    }
}
