//! What could be earned at most on a day, by whoever knows everything beforehand.
//!
//! For each window: calls that come while no process runs earn nothing; of the others, those
//! that are worth most for the work they take are served in time, up to the room there is.
//! Work isn't moved between windows: what a caller grants beyond its work is far below their
//! length. Nothing is taken off for tasks that fail, ways or room that no task fits into, so
//! no dispatcher reaches it.

use serde::Deserialize;

/// A day's offered work and room.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct Day {
    /// Kinds of calls.
    pub kinds: Vec<Kind>,
    /// Windows, one after the other.
    pub windows: Vec<Window>,
}

/// A kind of calls.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct Kind {
    /// What an answer in time is worth.
    pub worth: f64,
    /// Core-seconds that a call takes.
    pub core_s: f64,
}

/// A stretch of the day.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct Window {
    /// Its length, in seconds.
    pub seconds: f64,
    /// Cores of sound backend servers.
    pub cores: f64,
    /// How long no process runs, in seconds.
    pub down_s: f64,
    /// Calls of each kind that come.
    pub calls: Vec<f64>,
}

/// What is owed, and how much of it could be earned at most.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Earned {
    /// Worth of all calls.
    pub owed: f64,
    /// Worth of those that can be served in time.
    pub most: f64,
}

impl Earned {
    /// The part of what is owed that can be earned; all of nothing.
    pub fn share(self) -> f64 {
        if self.owed > 0.0 {
            self.most / self.owed
        } else {
            1.0
        }
    }
}

/// The most that one window can bring.
pub fn window(kinds: &[Kind], window: &Window) -> Earned {
    let up = 1.0 - (window.down_s / window.seconds).clamp(0.0, 1.0);
    let mut room = window.cores * window.seconds * up;
    let mut earned = Earned::default();
    let mut by_worth: Vec<_> = kinds.iter().zip(&window.calls).collect();
    by_worth.sort_by(|(one, _), (other, _)| a_core_second(other).total_cmp(&a_core_second(one)));
    for (kind, &calls) in by_worth {
        let served = (calls * up).min(room / kind.core_s);
        room -= served * kind.core_s;
        earned.owed += calls * kind.worth;
        earned.most += served * kind.worth;
    }
    earned
}

fn a_core_second(kind: &Kind) -> f64 {
    kind.worth / kind.core_s
}

/// The most that each window of a day can bring.
pub fn day(day: &Day) -> Vec<Earned> {
    let windows = day.windows.iter();
    windows.map(|one| window(&day.kinds, one)).collect()
}

/// What a whole day can bring.
pub fn total(windows: &[Earned]) -> Earned {
    windows.iter().fold(Earned::default(), |sum, one| Earned {
        owed: sum.owed + one.owed,
        most: sum.most + one.most,
    })
}

/// Mean share of the two worst windows.
pub fn worst_two(windows: &[Earned]) -> f64 {
    let mut shares: Vec<_> = windows.iter().map(|one| one.share()).collect();
    shares.sort_by(f64::total_cmp);
    shares.truncate(2);
    shares.iter().sum::<f64>() / shares.len().max(1) as f64
}
