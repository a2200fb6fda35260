//! Which runners a job's tasks go to.
//!
//! Each task goes out as soon as there is room for it, the most urgent job's first, and
//! a job that has begun goes before all others. Tasks give their room back as they end, so
//! a job of eight that starts three loses nothing by it; waiting for eight places at once
//! let smaller jobs behind it take each place that came free. Near runners go first (bytes
//! between availability zones cost, and a way is longer), and of those the one with the
//! least room that is enough, so that room for large tasks stays.

use std::collections;

use smol_str::SmolStr;

use crate::leased::dispatch::runners;
use crate::wire;

/// A runner that may get tasks.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Which.
    pub key: runners::RunnerKey,
    /// What is free there.
    pub free: wire::Resources,
    /// Whether any other is to be preferred, by how the tasks there fare.
    pub is_suspect: bool,
    /// How many tasks more it may get.
    pub places: u32,
    /// Whether it is in the entry's own availability zone.
    pub is_near: bool,
    /// Its labels.
    pub labels: Vec<SmolStr>,
}

/// What one task asks for.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// Its place in the job's list.
    pub task: usize,
    /// Its step, for the most tasks of a step on one backend server.
    pub step: u16,
    /// What it takes.
    pub need: wire::Resources,
    /// A label that it needs.
    pub label: Option<&'a SmolStr>,
    /// The rack near its data.
    pub rack: Option<&'a SmolStr>,
    /// At most so many of its step on one backend server.
    pub per_server: u32,
}

/// Places as many tasks as fit, and takes their room from the candidates.
pub fn place(asks: &[Ask<'_>], candidates: &mut [Candidate]) -> Vec<(usize, runners::RunnerKey)> {
    let mut counts: collections::HashMap<(u16, runners::RunnerKey), u32> =
        collections::HashMap::new();
    let mut placed = Vec::with_capacity(asks.len());
    for ask in asks {
        let fits = |candidate: &&mut Candidate| {
            let count = counts.get(&(ask.step, candidate.key)).copied().unwrap_or(0);
            candidate.places > 0
                && ask.need.fits_in(&candidate.free)
                && count < ask.per_server
                && ask
                    .label
                    .is_none_or(|label| candidate.labels.contains(label))
        };
        let best = candidates.iter_mut().filter(fits).min_by_key(|candidate| {
            let is_far_from_data = ask
                .rack
                .is_some_and(|rack| !candidate.labels.contains(rack));
            (
                candidate.is_suspect,
                is_far_from_data,
                !candidate.is_near,
                candidate.free.cpu_milli,
            )
        });
        let Some(best) = best else {
            continue;
        };
        best.free = best.free.minus(&ask.need);
        best.places -= 1;
        *counts.entry((ask.step, best.key)).or_default() += 1;
        placed.push((ask.task, best.key));
    }
    placed
}
