//! Dispatches accepted by a runner that wait for a slot.
//!
//! They go by the time at which they should start, so that a short task is not kept
//! waiting by the long ones that were bound to this runner before it. Several
//! entries share a runner's slots, each with its own line here, and no line may get
//! ahead of another by more than [`MAX_LEAD`] starts: by the times alone an entry
//! with much late work would keep the others waiting.

use std::collections;

use smol_str::SmolStr;

use crate::ids;
use crate::wire;

/// How often a task that does not fit may be passed over by smaller ones.
///
/// Without a limit a large task would starve behind a stream of small ones;
/// without passing over at all one large task would idle the other slots.
pub const MAX_PASSES: u32 = 8;

/// By how many starts a line may get ahead of another that has work too.
pub const MAX_LEAD: u64 = 2;

/// One waiting dispatch.
#[derive(Clone, Debug)]
pub struct Parked {
    /// What to start.
    pub dispatch: wire::Dispatch,
    /// When it is handed back, monotonic milliseconds.
    pub until_ms: u64,
    start_by_ms: u64,
    passes: u32,
}

/// What waits of one entry, the most urgent first.
#[derive(Debug, Default)]
struct Line {
    entry: SmolStr,
    parked: collections::VecDeque<Parked>,
    starts: u64,
}

/// All waiting dispatches, a line for each entry.
#[derive(Debug, Default)]
pub struct WaitQueue {
    lines: Vec<Line>,
    len: usize,
}

impl WaitQueue {
    /// How many wait.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether none waits.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// How many wait of one life of an entry.
    pub fn len_of(&self, entry: ids::Incarnation) -> usize {
        let all = self.lines.iter().flat_map(|line| &line.parked);
        all.filter(|parked| parked.dispatch.attempt.owner == entry)
            .count()
    }

    /// Adds a dispatch to its entry's line.
    pub fn push(&mut self, dispatch: wire::Dispatch, now_ms: u64) {
        let parked = Parked {
            until_ms: now_ms.saturating_add(dispatch.wait_ms),
            start_by_ms: now_ms.saturating_add(dispatch.slack_ms),
            passes: 0,
            dispatch,
        };
        self.len += 1;
        let line = self.line(&parked.dispatch.entry);
        let is_before = |one: &Parked| one.start_by_ms <= parked.start_by_ms;
        let at = line.parked.partition_point(is_before);
        line.parked.insert(at, parked);
    }

    /// The line of an entry; a new one begins level with the one furthest behind.
    fn line(&mut self, entry: &SmolStr) -> &mut Line {
        let known = self.lines.iter().position(|line| line.entry == *entry);
        let at = known.unwrap_or_else(|| {
            let starts = self.least_starts();
            self.lines.push(Line {
                entry: entry.clone(),
                starts,
                ..Line::default()
            });
            self.lines.len() - 1
        });
        &mut self.lines[at]
    }

    fn least_starts(&self) -> u64 {
        let starts = self.lines.iter().map(|line| line.starts);
        starts.min().unwrap_or(0)
    }

    /// Takes the next dispatch whose need passes `fits`.
    pub fn pop(&mut self, fits: impl Fn(&wire::Resources) -> bool) -> Option<wire::Dispatch> {
        for at in self.order() {
            let front = self.lines.get_mut(at)?.parked.front_mut()?;
            if fits(&front.dispatch.resources) {
                return self.take_front(at);
            }
            front.passes += 1;
            if front.passes > MAX_PASSES {
                return None;
            }
        }
        None
    }

    /// The lines in the order of their turns.
    fn order(&self) -> Vec<usize> {
        let least = self.least_starts();
        let rank = |at: &usize| {
            let line = &self.lines[*at];
            let is_ahead = line.starts >= least + MAX_LEAD;
            let start_by_ms = line.parked.front().map(|parked| parked.start_by_ms);
            (is_ahead, start_by_ms)
        };
        let mut order: Vec<usize> = (0..self.lines.len()).collect();
        order.sort_by_key(rank);
        order
    }

    fn take_front(&mut self, at: usize) -> Option<wire::Dispatch> {
        let line = self.lines.get_mut(at)?;
        let parked = line.parked.pop_front()?;
        line.starts += 1;
        self.len -= 1;
        if line.parked.is_empty() {
            self.lines.remove(at);
        }
        Some(parked.dispatch)
    }

    /// Takes out those that `leaves` names.
    pub fn remove(&mut self, mut leaves: impl FnMut(&Parked) -> bool) -> Vec<wire::Dispatch> {
        let mut out = Vec::new();
        for line in &mut self.lines {
            let all = line.parked.drain(..);
            let (gone, kept): (Vec<_>, Vec<_>) = all.partition(|p| leaves(p));
            line.parked = kept.into();
            out.extend(gone.into_iter().map(|parked| parked.dispatch));
        }
        self.lines.retain(|line| !line.parked.is_empty());
        self.len -= out.len();
        out
    }

    /// Takes out one attempt.
    pub fn remove_attempt(&mut self, attempt: ids::Attempt) -> bool {
        !self
            .remove(|parked| parked.dispatch.attempt == attempt)
            .is_empty()
    }
}
