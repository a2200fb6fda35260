//! Whether a runner is slow, by a sequential test over its tasks.
//!
//! Each task weighs for or against the runner by the logarithm of how much likelier
//! its run time is at a server four times slower than at one like the others. One that
//! still runs counts by how long it has run already, so that a slow server is found
//! before its tasks end. Where the kind's run times are known well a single task weighs
//! much, else little; none weighs more than its kind's part of stragglers allows, and
//! the tasks of one job, which are alike, weigh against the runner once.

use std::collections;

use crate::health::kinds;

/// Excess of the slow server in question, as a natural logarithm: four times. Half of
/// it, twice the time, is where a task speaks neither for nor against.
const QUESTION: f64 = 1.386;

/// Weight from which on others are preferred, while they have free slots: half of what
/// one task can weigh. In trials (seeds 1 to 12, both sites) p99 over ideal with a slow
/// server was 1.39, 1.37 and 1.40 in the mean at 1.5, 2 and 3.
const SUSPECT: f64 = 2.0;

/// Weight that ejects: three tasks hardly possible at a server like the others, of as
/// many jobs. In trials (24 runs without a fault, 2 of 100 tasks four times too long by
/// chance) it ejected nobody; 10 ejected two.
const EJECT: f64 = 11.0;

/// Weight of all others' median at which slowness is not this runner's own.
const COMMON: f64 = 1.5;

/// Weight of a single probe from which on it went badly.
const BAD_PROBE: f64 = 2.0;

/// Age at which signs of slowness no longer count, milliseconds: a runner that is
/// passed over shows no better ones.
const SIGN_MS: u64 = 2_000;

/// Logistic curve that is nearest to the normal one.
const LOGISTIC: f64 = 1.702;

/// Ended tasks remembered of a runner: some three rounds of its slots.
const MAX_ENDED: usize = 24;

/// How much a task's excess speaks for a slow server once it ended.
pub fn weight(excess: f64, shape: &kinds::Shape) -> f64 {
    let spread = shape.spread();
    let weight = QUESTION * (excess - QUESTION / 2.0) / (spread * spread);
    let most = -shape.stragglers().ln();
    weight.clamp(-most, most)
}

/// The same of one that still runs; never below zero.
pub fn weight_running(excess: f64, shape: &kinds::Shape) -> f64 {
    let spread = shape.spread();
    let is_over = |mean: f64| 1.0 / (1.0 + (LOGISTIC * (excess - mean) / spread).exp());
    let by_chance = shape.stragglers();
    ((is_over(QUESTION) + by_chance) / (is_over(0.0) + by_chance)).ln()
}

/// Whether a probe went well; absent where it can't be told.
pub fn is_probe_well(weight: f64) -> Option<bool> {
    match weight {
        weight if weight < 0.0 => Some(true),
        weight if weight >= BAD_PROBE => Some(false),
        _ => None,
    }
}

/// Whether slowness of this weight is that of most others as well.
pub fn is_common(median: f64) -> bool {
    median >= COMMON
}

/// What one task says.
#[derive(Clone, Copy, Debug)]
pub struct Sign {
    /// When it was sent, monotonic milliseconds.
    pub sent_ms: u64,
    /// The job it is of.
    pub job: u64,
    /// How much it speaks for a slow server.
    pub weight: f64,
}

/// The test's state for one runner.
///
/// Tasks are taken in the order in which they were sent, and the greatest sum of the
/// weights since any moment counts: a server that turned slow does nothing well that it
/// is sent later. So a straggler that runs on for seconds does not add to the next one
/// where those sent between the two ended well.
#[derive(Clone, Debug, Default)]
pub struct Slowness {
    ended: collections::VecDeque<Sign>,
    running: Vec<Sign>,
    weight: f64,
    seen_ms: u64,
}

impl Slowness {
    /// A task ended.
    pub fn ended(&mut self, now_ms: u64, sign: Sign) {
        if self.ended.len() >= MAX_ENDED {
            self.ended.pop_front();
        }
        let at = self
            .ended
            .partition_point(|one| one.sent_ms <= sign.sent_ms);
        self.ended.insert(at, sign);
        self.seen_ms = now_ms;
        self.weigh();
    }

    /// Those that run are looked at anew.
    pub fn running(&mut self, now_ms: u64, signs: Vec<Sign>) {
        if signs.is_empty() && self.running.is_empty() {
            return;
        }
        self.running = signs;
        self.running.sort_by_key(|sign| sign.sent_ms);
        self.seen_ms = now_ms;
        self.weigh();
    }

    fn weigh(&mut self) {
        let mut ended = self.ended.iter().rev().peekable();
        let mut running = self.running.iter().rev().peekable();
        let mut jobs = Vec::new();
        let mut sum = 0.0;
        self.weight = 0.0;
        loop {
            let is_running_next = match (running.peek(), ended.peek()) {
                (Some(running), Some(ended)) => running.sent_ms >= ended.sent_ms,
                (Some(_), None) => true,
                (None, _) => false,
            };
            let next = if is_running_next {
                running.next()
            } else {
                ended.next()
            };
            let Some(sign) = next else {
                return;
            };
            if sign.weight > 0.0 && jobs.contains(&sign.job) {
                continue;
            }
            if sign.weight > 0.0 {
                jobs.push(sign.job);
            }
            sum += sign.weight;
            self.weight = self.weight.max(sum);
        }
    }

    /// All that speaks for a slow server.
    pub const fn weight(&self) -> f64 {
        self.weight
    }

    /// Whether others are to be preferred.
    pub fn is_suspect(&self, now_ms: u64) -> bool {
        self.seen_ms + SIGN_MS > now_ms && self.weight >= SUSPECT
    }

    /// Whether it is slow, unless all others are.
    pub fn is_slow(&self) -> bool {
        self.weight >= EJECT
    }
}
