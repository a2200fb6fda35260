//! Which jobs arrive when; decided by the seed alone.

use std::fmt;
use std::str;
use std::time;

use rand::Rng as _;
use rand::SeedableRng as _;
use smol_str::SmolStr;

use crate::api;
use crate::cli;
use crate::ids;

/// Longest task that a mix may hold.
const MAX_TASK_MS: u32 = 3_600_000;

/// Mixes that have a name of their own.
///
/// `short` and `long` are the brief's "50 ms to a second" and "a few take several
/// seconds"; `mixed` has one long task in twenty.
const PRESETS: [(&str, &str); 3] = [
    ("short", "short=50..1000"),
    ("long", "long=2000..6000"),
    ("mixed", "short=50..1000@19,long=2000..6000@1"),
];

/// Tasks of one kind.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    /// The kind that the tasks declare.
    pub kind: SmolStr,
    /// Shortest and longest run time, in milliseconds; uniform between them.
    pub low_ms: u32,
    /// See `low_ms`.
    pub high_ms: u32,
    /// Its share beside the other parts.
    pub weight: u32,
}

/// Which tasks there are.
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
    let wrong = || {
        let form = "KIND=LOW..HIGH[@WEIGHT], 'short', 'long' or 'mixed'";
        cli::CliError::Usage(format!("'{text}' is no mix: {form}"))
    };
    let (kind, rest) = text.split_once('=').ok_or_else(wrong)?;
    let (range, weight) = rest.split_once('@').unwrap_or((rest, "1"));
    let (low, high) = range.split_once("..").ok_or_else(wrong)?;
    let number = |text: &str| text.parse::<u32>().map_err(|_bad| wrong());
    let part = Part {
        kind: ids::check_name(kind)?,
        low_ms: number(low)?,
        high_ms: number(high)?,
        weight: number(weight)?,
    };
    let is_good = part.low_ms <= part.high_ms && part.high_ms <= MAX_TASK_MS && part.weight > 0;
    if is_good { Ok(part) } else { Err(wrong()) }
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
    fn draw(&self, rng: &mut impl rand::Rng) -> api::Task {
        let total: u64 = self.parts.iter().map(|part| u64::from(part.weight)).sum();
        let mut place = rng.random_range(0..total);
        let mut chosen = &self.parts[0];
        for part in &self.parts {
            chosen = part;
            if place < u64::from(part.weight) {
                break;
            }
            place -= u64::from(part.weight);
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
    /// When it arrives, from the start of the load.
    pub at: time::Duration,
    /// Its tasks.
    pub tasks: Vec<api::Task>,
}

impl Arrival {
    /// Run time of its longest task: no answer can come sooner.
    pub fn ideal_ms(&self) -> u32 {
        self.tasks.iter().map(|task| task.run_ms).max().unwrap_or(0)
    }
}

/// What the load is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Jobs a second, on average.
    pub rate: f64,
    /// How long jobs arrive.
    pub duration: time::Duration,
    /// Tasks of each job.
    pub job_size: usize,
    /// Which tasks.
    pub mix: Mix,
    /// Decides everything else.
    pub seed: u64,
}

impl Plan {
    /// The jobs in the order of their arrival.
    ///
    /// The gaps are exponential, as those of many independent callers are.
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
