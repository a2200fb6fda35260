//! Which entry a slot that came free goes to.
//!
//! Load patterns answered: a hot caller, and short tasks among long ones, at several
//! entries that share runners. Each entry orders only what waits at itself, and hears
//! first of the slots that its own tasks leave. Without this such a slot goes to that
//! entry's own work, however much more urgent another's is: at 0.7 load three entries
//! have a p99 far above that of one that sees everything.
//!
//! An entry that has tasks waiting tells the others how urgent the first of them is
//! ([`Told`]), and each of them cedes slots that come free to the most urgent of those
//! that it heard of ([`Wants`]). `docs/DECISIONS.md` has the figures.

use std::collections;

use crate::ids;
use crate::wire;

/// By how many milliseconds another's work must be more urgent to be ceded a slot:
/// the slot stands idle for the two messages that it takes.
pub const MARGIN_MS: u64 = 20;

/// How long a word of another's work counts: two heartbeats, which repeat it.
pub const LIFETIME_MS: u64 = 1_000;

/// How urgent the first task of a queue is; the least is the most urgent.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Urgency {
    /// Whether its team has more than its share of the slots that its entry has.
    pub is_over: bool,
    /// When it should start, on the clock of the process that looks at it.
    pub start_by_ms: u64,
}

impl Urgency {
    /// Whether this is more urgent by so much that a slot is worth ceding for it.
    pub const fn is_well_before(&self, other: &Self) -> bool {
        if self.is_over != other.is_over {
            return other.is_over;
        }
        self.start_by_ms.saturating_add(MARGIN_MS) < other.start_by_ms
    }
}

/// What waits at one entry, as it or another knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Want {
    /// Of the first of its tasks.
    pub urgency: Urgency,
    /// How many tasks wait.
    pub tasks: u32,
    /// When this was said.
    pub at_ms: u64,
}

impl Want {
    /// What another entry says, as of now.
    pub fn hear(now_ms: u64, want: &wire::Want) -> Self {
        Self {
            urgency: Urgency {
                is_over: want.over,
                start_by_ms: now_ms.saturating_add_signed(want.slack_ms),
            },
            tasks: want.tasks,
            at_ms: now_ms,
        }
    }

    /// What to say to another entry.
    pub fn tell(&self, now_ms: u64) -> wire::Want {
        let slack = i128::from(self.urgency.start_by_ms) - i128::from(now_ms);
        wire::Want {
            over: self.urgency.is_over,
            slack_ms: i64::try_from(slack).unwrap_or(i64::MAX),
            tasks: self.tasks,
        }
    }

    const fn counts(&self, now_ms: u64) -> bool {
        self.tasks > 0 && self.at_ms.saturating_add(LIFETIME_MS) > now_ms
    }
}

/// Wants by the life of an entry: what others told, or what was told to them.
#[derive(Clone, Debug, Default)]
pub struct Wants {
    by_entry: collections::BTreeMap<ids::Incarnation, Want>,
}

impl Wants {
    /// Notes what an entry wants, or that it wants nothing.
    pub fn set(&mut self, entry: ids::Incarnation, want: Option<Want>) {
        match want.filter(|want| want.tasks > 0) {
            Some(want) => drop(self.by_entry.insert(entry, want)),
            None => drop(self.by_entry.remove(&entry)),
        }
    }

    /// The want of an entry, where it still counts.
    pub fn of(&self, now_ms: u64, entry: ids::Incarnation) -> Option<&Want> {
        self.by_entry.get(&entry).filter(|want| want.counts(now_ms))
    }

    /// The entry that a slot should be ceded to, if any: the most urgent one, where its
    /// work is well before the own.
    pub fn neediest(&self, now_ms: u64, own: Option<&Urgency>) -> Option<ids::Incarnation> {
        let counting = self.by_entry.iter().filter(|(_, want)| want.counts(now_ms));
        let (entry, want) = counting.min_by_key(|(_, want)| want.urgency)?;
        let is_worth_it = own.is_none_or(|own| want.urgency.is_well_before(own));
        is_worth_it.then_some(*entry)
    }

    /// A slot was ceded to that entry: it wants one less.
    pub fn ceded(&mut self, entry: ids::Incarnation) {
        if let Some(want) = self.by_entry.get_mut(&entry) {
            want.tasks = want.tasks.saturating_sub(1);
        }
    }

    /// Drops what does not count any more.
    pub fn expire(&mut self, now_ms: u64) {
        self.by_entry.retain(|_, want| want.counts(now_ms));
    }
}

/// Whether another entry should be told of a want, given what it was told before.
///
/// It is told when it knows of none, or when the work has become well more urgent than
/// it knows; what is less urgent than said it hears with the next heartbeat or ceding.
pub fn is_worth_telling(now_ms: u64, known: Option<&Want>, want: &Want) -> bool {
    known.is_none_or(|known| !known.counts(now_ms) || want.urgency.is_well_before(&known.urgency))
}
