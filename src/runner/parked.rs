//! Dispatches accepted by a runner that wait for a slot.
//!
//! Several entries share a runner's slots. Each has its own line here and the
//! lines take turns, so an entry with much work can't keep the others waiting:
//! one line would serve them in proportion to what they send.

use std::collections;

use smol_str::SmolStr;

use crate::ids;
use crate::wire;

/// How often a task that does not fit may be passed over by smaller ones.
///
/// Without a limit a large task would starve behind a stream of small ones;
/// without passing over at all one large task would idle the other slots.
pub const MAX_PASSES: u32 = 8;

/// One waiting dispatch.
#[derive(Clone, Debug)]
pub struct Parked {
    /// What to start.
    pub dispatch: wire::Dispatch,
    /// When it is handed back, monotonic milliseconds.
    pub until_ms: u64,
    passes: u32,
}

/// All waiting dispatches, a line for each entry.
#[derive(Debug, Default)]
pub struct Lines {
    lines: collections::VecDeque<(SmolStr, collections::VecDeque<Parked>)>,
    len: usize,
}

impl Lines {
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
        let all = self.lines.iter().flat_map(|(_, line)| line);
        all.filter(|parked| parked.dispatch.attempt.owner == entry)
            .count()
    }

    /// Adds a dispatch at the end of its entry's line.
    pub fn push(&mut self, dispatch: wire::Dispatch, now_ms: u64) {
        let until_ms = now_ms.saturating_add(dispatch.wait_ms);
        let entry = dispatch.entry.clone();
        let parked = Parked {
            dispatch,
            until_ms,
            passes: 0,
        };
        self.len += 1;
        if let Some((_, line)) = self.lines.iter_mut().find(|(name, _)| *name == entry) {
            line.push_back(parked);
            return;
        }
        self.lines
            .push_back((entry, collections::VecDeque::from([parked])));
    }

    /// Takes the next dispatch whose need passes `fits`, the lines in turn.
    pub fn pop(&mut self, fits: impl Fn(&wire::Resources) -> bool) -> Option<wire::Dispatch> {
        for at in 0..self.lines.len() {
            let front = self.lines.get_mut(at)?.1.front_mut()?;
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

    fn take_front(&mut self, at: usize) -> Option<wire::Dispatch> {
        let (name, mut line) = self.lines.remove(at)?;
        let parked = line.pop_front()?;
        self.len -= 1;
        if !line.is_empty() {
            self.lines.push_back((name, line));
        }
        Some(parked.dispatch)
    }

    /// Takes out those that `leaves` names.
    pub fn remove(&mut self, mut leaves: impl FnMut(&Parked) -> bool) -> Vec<wire::Dispatch> {
        let mut out = Vec::new();
        for (_, line) in &mut self.lines {
            let (gone, kept): (Vec<_>, Vec<_>) = line.drain(..).partition(|p| leaves(p));
            *line = kept.into();
            out.extend(gone.into_iter().map(|parked| parked.dispatch));
        }
        self.lines.retain(|(_, line)| !line.is_empty());
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
