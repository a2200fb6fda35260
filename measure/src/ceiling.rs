//! Upper bound of what a day can earn, with perfect knowledge of all calls.
//!
//! For each window: calls that arrive while no process runs earn nothing. Of the
//! others, those with the highest worth per core-second are served in time, as far as
//! capacity allows. Work isn't moved between windows, since callers grant far less
//! extra time than a window lasts. Failed tasks, latencies and leftover capacity that
//! fits no task are ignored, so no dispatcher reaches the bound.

use serde::Deserialize;

/// Offered work and capacity of a day.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct Day {
    /// Kinds of calls.
    pub kinds: Vec<Kind>,
    /// Consecutive windows.
    pub windows: Vec<Window>,
}

/// Kind of calls.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct Kind {
    /// Worth of an answer in time.
    pub worth: f64,
    /// Core-seconds that a call takes.
    pub core_s: f64,
}

/// Window of a day.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct Window {
    /// Length in seconds.
    pub seconds: f64,
    /// Cores of healthy backend servers.
    pub cores: f64,
    /// Time without a running process, in seconds.
    pub down_s: f64,
    /// Number of arriving calls of each kind.
    pub calls: Vec<f64>,
}

/// Worth of the offered calls and the upper bound of what can be earned.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bound {
    /// Worth of all calls.
    pub offered: f64,
    /// Worth of the calls that can be served in time.
    pub attainable: f64,
}

impl Bound {
    /// Returns the attainable fraction of the offered worth; 1 if nothing is offered.
    pub fn share(self) -> f64 {
        if self.offered > 0.0 {
            self.attainable / self.offered
        } else {
            1.0
        }
    }
}

/// Returns the upper bound of one window.
pub fn window(kinds: &[Kind], window: &Window) -> Bound {
    let up_fraction = 1.0 - (window.down_s / window.seconds).clamp(0.0, 1.0);
    let mut core_s_left = window.cores * window.seconds * up_fraction;
    let mut bound = Bound::default();
    let mut by_worth: Vec<_> = kinds.iter().zip(&window.calls).collect();
    by_worth
        .sort_by(|(one, _), (other, _)| worth_per_core_s(other).total_cmp(&worth_per_core_s(one)));
    for (kind, &calls) in by_worth {
        let served = (calls * up_fraction).min(core_s_left / kind.core_s);
        core_s_left -= served * kind.core_s;
        bound.offered += calls * kind.worth;
        bound.attainable += served * kind.worth;
    }
    bound
}

fn worth_per_core_s(kind: &Kind) -> f64 {
    kind.worth / kind.core_s
}

/// Returns the upper bound of each window of a day.
pub fn day(day: &Day) -> Vec<Bound> {
    let windows = day.windows.iter();
    windows.map(|one| window(&day.kinds, one)).collect()
}

/// Returns the sum over all windows.
pub fn total(windows: &[Bound]) -> Bound {
    windows.iter().fold(Bound::default(), |sum, one| Bound {
        offered: sum.offered + one.offered,
        attainable: sum.attainable + one.attainable,
    })
}

/// Returns the mean attainable fraction of the two worst windows.
pub fn worst_two(windows: &[Bound]) -> f64 {
    let mut shares: Vec<_> = windows.iter().map(|one| one.share()).collect();
    shares.sort_by(f64::total_cmp);
    shares.truncate(2);
    shares.iter().sum::<f64>() / shares.len().max(1) as f64
}
