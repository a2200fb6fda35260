//! Which runners a job's tasks go to.
//!
//! Each task goes out as soon as there is room for it, the most urgent job's first, and
//! a job that has begun goes before all others. Jobs of the most urgent queue begin with the
//! tasks that find a place, as everything else gives way to the rest of them. Others begin
//! only where all their tasks find one: begun in part under more work than room, a job holds
//! room for tasks whose answer is late all the same, for want of the last one. Near runners go first (bytes
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
use crate::leased::dispatch::urgency;
use crate::leased::messages;
use crate::wire;

/// Part of a backend server that stays free when a late job takes room there, as a divisor:
/// two or three tasks, which is what comes before the next report.
const SPARE_SHARE: u32 = 4;

/// A runner that may get tasks.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Which.
    pub key: runners::RunnerKey,
    /// What is free there.
    pub free: wire::Resources,
    /// Thousandths of a core that it has in all.
    pub size_milli: u32,
    /// Thousandths of a core that may still wait there for room, in each class of urgency.
    pub line_milli: [u32; messages::URGENCY_CLASSES],
    /// Thousandths of a core that were put into the line since.
    pub line_taken_milli: u32,
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
    pub max_per_server: u32,
    /// Whether it may wait at a runner for room.
    pub may_wait: bool,
    /// Its job's class of urgency.
    pub class: u8,
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

/// How many tasks of a step each runner got.
type Counts = collections::HashMap<(u16, runners::RunnerKey), u32>;

/// Places all tasks that are asked for, or none of them.
pub fn place_all(asks: &[Ask<'_>], candidates: &mut [Candidate]) -> Vec<Target> {
    let placed = place(asks, candidates);
    if placed.len() == asks.len() {
        return placed;
    }
    for target in placed {
        let ask = asks.iter().find(|ask| ask.task == target.task);
        let held = candidates
            .iter_mut()
            .find(|candidate| candidate.key == target.runner);
        if let (Some(ask), Some(candidate)) = (ask, held) {
            candidate.give_back(&ask.need, target.waits);
        }
    }
    Vec::new()
}

/// Places as many tasks as fit, or may wait, and takes their room from the candidates.
pub fn place(asks: &[Ask<'_>], candidates: &mut [Candidate]) -> Vec<Target> {
    let mut counts = Counts::new();
    let mut placed = Vec::with_capacity(asks.len());
    let mut full_step = None;
    for ask in asks {
        if full_step == Some(ask.step) {
            // The tasks of a step ask for the same; in overload most of all asks end here.
            continue;
        }
        let Some((at, waits)) = find(ask, candidates, &counts) else {
            full_step = Some(ask.step);
            continue;
        };
        let best = &mut candidates[at];
        best.take(&ask.need, waits);
        *counts.entry((ask.step, best.key)).or_default() += 1;
        placed.push(Target {
            task: ask.task,
            runner: best.key,
            waits,
        });
    }
    placed
}

/// The candidate for a task, and whether the task has to wait there: one with room, or else
/// one with a place in line.
fn find(ask: &Ask<'_>, candidates: &[Candidate], counts: &Counts) -> Option<(usize, bool)> {
    let has_room = |candidate: &Candidate| candidate.has_room_for(ask);
    if let Some(at) = first(ask, candidates, counts, has_room) {
        return Some((at, false));
    }
    if !ask.may_wait {
        return None;
    }
    let has_line = |candidate: &Candidate| candidate.has_line_for(ask);
    first(ask, candidates, counts, has_line).map(|at| (at, true))
}

fn first(
    ask: &Ask<'_>,
    candidates: &[Candidate],
    counts: &Counts,
    has_place: impl Fn(&Candidate) -> bool,
) -> Option<usize> {
    let all = candidates.iter().enumerate();
    let fitting =
        all.filter(|(_, candidate)| has_place(candidate) && ask.may_go_to(candidate, counts));
    let first = fitting.min_by_key(|(_, candidate)| ask.order_of(candidate))?;
    Some(first.0)
}

impl Candidate {
    fn take(&mut self, need: &wire::Resources, waits: bool) {
        if waits {
            self.line_taken_milli += need.cpu_milli;
        } else {
            self.free = self.free.minus(need);
        }
        self.places -= 1;
    }

    fn give_back(&mut self, need: &wire::Resources, waits: bool) {
        if waits {
            self.line_taken_milli -= need.cpu_milli;
        } else {
            self.free = self.free.plus(need);
        }
        self.places += 1;
    }

    fn has_room_for(&self, ask: &Ask<'_>) -> bool {
        let spare_milli = if urgency::takes_spare_room_only(ask.class) {
            self.size_milli / SPARE_SHARE
        } else {
            0
        };
        ask.need.fits_in(&self.free)
            && self.free.cpu_milli >= ask.need.cpu_milli.saturating_add(spare_milli)
    }

    fn has_line_for(&self, ask: &Ask<'_>) -> bool {
        let class = usize::from(ask.class).min(messages::URGENCY_CLASSES - 1);
        self.line_milli[class] >= self.line_taken_milli.saturating_add(ask.need.cpu_milli)
    }
}

impl Ask<'_> {
    fn may_go_to(&self, candidate: &Candidate, counts: &Counts) -> bool {
        let has_label = |label| candidate.labels.contains(label);
        let count = || counts.get(&(self.step, candidate.key)).copied();
        candidate.places > 0
            && (self.max_per_server == u32::MAX || count().unwrap_or(0) < self.max_per_server)
            && self.label.is_none_or(has_label)
    }

    /// Where a candidate stands for this task; the least goes first.
    fn order_of(&self, candidate: &Candidate) -> (bool, bool, bool, u64) {
        let is_far_from_data = self
            .rack
            .is_some_and(|rack| !candidate.labels.contains(rack));
        (
            candidate.is_suspect,
            is_far_from_data,
            !candidate.is_near,
            candidate.preference,
        )
    }
}
