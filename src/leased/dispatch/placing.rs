//! Which runners a job's tasks go to.
//!
//! Each task goes out as soon as there is room for it, the most urgent job's first, and
//! a job that has begun goes before all others. Tasks give their room back as they end, so
//! a job of eight that starts three loses nothing by it; waiting for eight places at once
//! let smaller jobs behind it take each place that came free. Near runners go first (bytes
//! between availability zones cost, and a way is longer), and of those the first with room
//! in an order that each entry has for itself.
//!
//! What an entry knows of others' work is up to a watch old. Where all entries look for the
//! same thing, such as the least room that is enough, they pick the same runner, and all but
//! one are refused. With an order of its own an entry fills runners that others leave alone,
//! and what it knows of those is its own doing.

use std::collections;
use std::sync;

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
    /// Thousandths of a core that may still wait there for room.
    pub line_milli: u32,
    /// Whether any other is to be preferred, by how the tasks there fare.
    pub is_suspect: bool,
    /// How many tasks more it may get.
    pub places: u32,
    /// Whether it is in the entry's own availability zone.
    pub is_near: bool,
    /// Where the entry looks first: the least goes first.
    pub preference: u64,
    /// Its labels.
    pub labels: sync::Arc<[SmolStr]>,
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
    /// Whether it may wait at a runner for room.
    pub may_wait: bool,
}

/// Where a task goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Target {
    /// Its place in the job's list.
    pub task: usize,
    /// The runner.
    pub runner: runners::RunnerKey,
    /// Whether it has to wait there for room.
    pub waits: bool,
}

/// Places as many tasks as fit, or may wait, and takes their room from the candidates.
pub fn place(asks: &[Ask<'_>], candidates: &mut [Candidate]) -> Vec<Target> {
    let mut counts: collections::HashMap<(u16, runners::RunnerKey), u32> =
        collections::HashMap::new();
    let mut placed = Vec::with_capacity(asks.len());
    let mut full_step = None;
    for ask in asks {
        if full_step == Some(ask.step) {
            // The tasks of a step ask for the same; in overload most of all asks end here.
            continue;
        }
        let may_take = |candidate: &Candidate| {
            candidate.places > 0
                && (ask.per_server == u32::MAX
                    || counts.get(&(ask.step, candidate.key)).copied().unwrap_or(0)
                        < ask.per_server)
                && ask
                    .label
                    .is_none_or(|label| candidate.labels.contains(label))
        };
        let has_room = |candidate: &Candidate| ask.need.fits_in(&candidate.free);
        let has_line = |candidate: &Candidate| candidate.line_milli >= ask.need.cpu_milli;
        let order = |candidate: &Candidate| {
            let is_far_from_data = ask
                .rack
                .is_some_and(|rack| !candidate.labels.contains(rack));
            (
                candidate.is_suspect,
                is_far_from_data,
                !candidate.is_near,
                candidate.preference,
            )
        };
        let first = |has: &dyn Fn(&Candidate) -> bool| {
            let fitting = candidates
                .iter()
                .enumerate()
                .filter(|(_, candidate)| has(candidate) && may_take(candidate));
            fitting
                .min_by_key(|(_, candidate)| order(candidate))
                .map(|(at, _)| at)
        };
        let with_room = first(&has_room);
        let waits = with_room.is_none();
        let found = with_room.or_else(|| ask.may_wait.then(|| first(&has_line)).flatten());
        let Some(at) = found else {
            full_step = Some(ask.step);
            continue;
        };
        let best = &mut candidates[at];
        if waits {
            best.line_milli -= ask.need.cpu_milli;
        } else {
            best.free = best.free.minus(&ask.need);
        }
        best.places -= 1;
        *counts.entry((ask.step, best.key)).or_default() += 1;
        placed.push(Target {
            task: ask.task,
            runner: best.key,
            waits,
        });
    }
    placed
}
