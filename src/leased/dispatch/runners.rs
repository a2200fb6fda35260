//! A runner as one entry sees it.

use std::collections;
use std::hash;
use std::hash::Hash as _;
use std::hash::Hasher as _;

use smol_str::SmolStr;

use crate::health;
use crate::ids;
use crate::leased::capacity;
use crate::leased::capacity::wait_queue;
use crate::leased::dispatch::jobs;
use crate::leased::dispatch::watching;
use crate::leased::messages;
use crate::leased::ports;
use crate::wire;

pub use crate::membership::RunnerKey;

/// How long an order may start something, in milliseconds: long enough for a lost packet
/// to be sent again, short enough not to hold a task up when the order is lost.
pub const ORDER_VALID_MS: u64 = 300;

/// Silence after which a runner is sent nothing more, in milliseconds: one watch of
/// 150 ms and its time limit.
pub const SILENT_MS: u64 = 450;

/// Silence after which a runner's runs are surely over, in milliseconds: the lease that
/// the entry's last sign of life allows, 2 % more for a slow clock, a stop, and a way.
pub const RUN_EXPIRY_MS: u64 = capacity::OWNER_LEASE_MS + capacity::OWNER_LEASE_MS / 50 + 100;

/// Silence after which a runner that the store doesn't list is forgotten, in milliseconds.
const FORGET_MS: u64 = 60_000;

/// An order of runners that differs from entry to entry, so that entries with the same view
/// don't all pick the same runner.
fn preference(entry: ids::Incarnation, address: &str) -> u64 {
    let mut hasher = hash::DefaultHasher::new();
    (entry.0, address).hash(&mut hasher);
    hasher.finish()
}

/// One run that was ordered and is not known to be over.
#[derive(Clone, Debug)]
pub struct Placed {
    /// Its job.
    pub job: jobs::JobKey,
    /// Its task, in the job's list.
    pub task: usize,
    /// What it takes.
    pub need: wire::Resources,
    /// The life of the runner that was told.
    life: ids::Incarnation,
    /// Whether it waits at the runner for room, as far as is known.
    pub waits: bool,
    /// After this the order starts nothing any more.
    valid_until_ms: u64,
    /// The runner's message that first showed the run.
    accepted: Option<u64>,
    /// When it was ordered; once it has waited, when it was first heard to run.
    pub ordered_ms: u64,
    /// How long it should run, in milliseconds as declared.
    pub expected_ms: u64,
    /// What runs like it, for comparing runners.
    pub kind: health::Kind,
    /// Counts the runs of this entry.
    pub number: u64,
}

/// A run to be put into an order.
#[derive(Clone, Debug)]
pub struct Planned {
    /// What the runner is told.
    pub start: messages::Start,
    /// Whether it will have to wait there for room.
    pub waits: bool,
    /// Its job.
    pub job: jobs::JobKey,
    /// Its task, in the job's list.
    pub task: usize,
    /// How long it should run, in milliseconds as declared.
    pub expected_ms: u64,
    /// What runs like it, for comparing runners.
    pub kind: health::Kind,
    /// Counts the runs of this entry.
    pub number: u64,
}

/// A run that is over, or never was.
#[derive(Clone, Debug)]
pub struct Over {
    /// The run.
    pub id: messages::RunId,
    /// Where it belongs.
    pub placed: Placed,
    /// How it ended.
    pub how: messages::RunOutcome,
    /// How long it ran, in milliseconds.
    pub ran_ms: u64,
}

/// What the store says of a runner.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Listing {
    /// Nothing since it was added: another entry told of it.
    #[default]
    Untold,
    /// It is listed.
    Listed,
    /// Others are listed, and it isn't.
    Unlisted,
}

/// A runner.
#[derive(Clone, Debug)]
pub struct Runner {
    /// Where it is, as it says itself, or else as it is listed.
    pub member: ports::Member,
    /// What the store says of it.
    pub listing: Listing,
    /// Whether and why it is watched.
    pub watch: watching::Watch,
    /// Its place in the order in which the entry looks for room.
    pub preference: u64,
    /// What it last said of its room.
    pub load: messages::Load,
    /// Position up to which it was told what operators ask for.
    pub directives_position: u64,
    life: Option<ids::Incarnation>,
    clock: Option<(u64, u64)>,
    sequence: u64,
    orders: u64,
    acked: u64,
    heard_ms: Option<u64>,
    alive_sent_ms: u64,
    added_ms: u64,
    placed: collections::HashMap<messages::RunId, Placed>,
}

impl Runner {
    /// A runner that was found and not heard yet.
    pub fn new(entry: ids::Incarnation, member: ports::Member, now_ms: u64) -> Self {
        Self {
            preference: preference(entry, &member.address),
            member,
            listing: Listing::default(),
            watch: watching::Watch::default(),
            load: messages::Load::default(),
            directives_position: 0,
            life: None,
            clock: None,
            sequence: 0,
            orders: 0,
            acked: 0,
            heard_ms: None,
            alive_sent_ms: now_ms,
            added_ms: now_ms,
            placed: collections::HashMap::new(),
        }
    }

    /// Whether work may be sent to it.
    pub fn is_usable(&self, now_ms: u64) -> bool {
        self.load.readiness == messages::Readiness::Ready && self.silence_ms(now_ms) <= SILENT_MS
    }

    /// Time since it was last heard, in milliseconds.
    pub fn silence_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.heard_ms.unwrap_or(self.added_ms))
    }

    /// Where it answers.
    pub const fn address(&self) -> &SmolStr {
        &self.member.address
    }

    /// Whether anything was ever heard of it.
    pub const fn was_heard(&self) -> bool {
        self.heard_ms.is_some()
    }

    /// Whether anything was heard of it since.
    pub fn was_heard_since(&self, since_ms: u64) -> bool {
        self.heard_ms.is_some_and(|heard_ms| heard_ms >= since_ms)
    }

    /// Whether it isn't worth knowing any more: in use nowhere, and silent for long.
    ///
    /// Silence says something of a runner that nobody else tells of only while it is asked.
    pub fn is_forgotten(&self, now_ms: u64) -> bool {
        let is_silent = self.silence_ms(now_ms) >= FORGET_MS;
        let since_ms = self.watch.since_ms.unwrap_or(now_ms);
        let may_go = match self.listing {
            Listing::Listed => false,
            Listing::Unlisted => true,
            Listing::Untold => now_ms >= since_ms + FORGET_MS,
        };
        may_go && is_silent && self.placed.is_empty()
    }

    /// How many runs of this entry are there, or may be.
    pub fn placed(&self) -> usize {
        self.placed.len()
    }

    /// Runs that are there, or may be.
    pub fn placed_runs(&self) -> impl Iterator<Item = (&messages::RunId, &Placed)> {
        self.placed.iter()
    }

    /// What is free, with this entry's orders that the runner's last word didn't contain.
    pub fn free(&self) -> wire::Resources {
        let on_the_way = self
            .placed
            .values()
            .filter(|placed| placed.accepted.is_none() && !placed.waits);
        let on_the_way = on_the_way.fold(wire::Resources::default(), |sum, placed| {
            sum.plus(&placed.need)
        });
        self.load.size.minus(&self.load.used).minus(&on_the_way)
    }

    /// Thousandths of a core that may still wait there in each class, with this entry's orders
    /// that the runner's last word didn't contain.
    pub fn line_milli(&self) -> [u32; messages::URGENCY_CLASSES] {
        let on_the_way = self
            .placed
            .values()
            .filter(|placed| placed.accepted.is_none() && placed.waits);
        let on_the_way: u32 = on_the_way.map(|placed| placed.need.cpu_milli).sum();
        let most = self.load.size.cpu_milli / wait_queue::WAIT_QUEUE_CPU_DIVISOR;
        [0, 1, 2, 3, 4].map(|class| {
            most.saturating_sub(self.load.line.milli_up_to(class))
                .saturating_sub(on_the_way)
        })
    }

    /// The runner's clock now: never ahead of it.
    fn clock_ms(&self, now_ms: u64) -> Option<u64> {
        let (reading_ms, heard_ms) = self.clock?;
        Some(reading_ms + now_ms.saturating_sub(heard_ms))
    }

    /// A moment on the runner's clock at which this entry lives; none while the runner is
    /// silent.
    ///
    /// Where only the way back is cut, the runner would hear signs of life for ever and
    /// go on with runs that are given up for lost here and started elsewhere.
    fn sign_of_life(&mut self, now_ms: u64) -> Option<u64> {
        if self.silence_ms(now_ms) > SILENT_MS {
            return None;
        }
        let clock_ms = self.clock_ms(now_ms)?;
        self.alive_sent_ms = now_ms;
        Some(clock_ms)
    }

    /// Puts runs into an order; none if the runner was never heard.
    pub fn order(
        &mut self,
        now_ms: u64,
        entry: ids::Incarnation,
        starts: Vec<Planned>,
        stops: Vec<messages::RunId>,
    ) -> Option<messages::Order> {
        let life = self.life?;
        let clock_ms = self.clock_ms(now_ms)?;
        self.orders += 1;
        let alive_at_ms = self.sign_of_life(now_ms).unwrap_or(0);
        for planned in &starts {
            let placed = Placed {
                job: planned.job,
                task: planned.task,
                need: planned.start.need,
                life,
                waits: planned.waits,
                valid_until_ms: now_ms + ORDER_VALID_MS,
                accepted: None,
                ordered_ms: now_ms,
                expected_ms: planned.expected_ms,
                kind: planned.kind,
                number: planned.number,
            };
            self.placed.insert(planned.start.id.clone(), placed);
        }
        Some(messages::Order {
            version: wire::VERSION,
            entry,
            runner: life,
            number: self.orders,
            alive_at_ms,
            valid_until_ms: clock_ms + ORDER_VALID_MS,
            starts: starts.into_iter().map(|planned| planned.start).collect(),
            stops,
        })
    }

    /// The next question to the runner; `wanted` tells which runs should go on.
    pub fn watch(
        &mut self,
        now_ms: u64,
        entry: ids::Incarnation,
        wanted: impl Fn(&Placed) -> bool,
    ) -> messages::Watch {
        let alive_at_ms = self.sign_of_life(now_ms);
        let wanted = self.placed.iter().filter(|(_, placed)| wanted(placed));
        messages::Watch {
            version: wire::VERSION,
            entry,
            runner: self.life,
            alive_at_ms,
            acked: self.acked,
            ordered: self.orders,
            wanted: wanted.map(|(id, _)| id.clone()).collect(),
            wants_room: false,
            wait_ms: 0,
            address: None,
            directives_position: 0,
            configuration: 0,
            notice: None,
        }
    }

    fn hear(&mut self, now_ms: u64, life: ids::Incarnation, clock_ms: u64, sequence: u64) -> bool {
        let is_other = self.life != Some(life);
        if is_other {
            self.life = Some(life);
            self.clock = None;
            self.sequence = 0;
            self.acked = 0;
        }
        self.heard_ms = Some(now_ms);
        if sequence <= self.sequence {
            return false;
        }
        self.sequence = sequence;
        self.clock = Some((clock_ms, now_ms));
        true
    }

    /// An order was answered; what was not taken in is over.
    pub fn order_answered(
        &mut self,
        now_ms: u64,
        order: &messages::Order,
        reply: messages::OrderReply,
    ) -> Vec<Over> {
        if self.hear(now_ms, reply.runner, reply.clock_ms, reply.sequence) {
            self.load = reply.load;
        }
        if reply.runner == order.runner {
            for start in &order.starts {
                if let Some(placed) = self.placed.get_mut(&start.id) {
                    placed.accepted.get_or_insert(reply.sequence);
                }
            }
        }
        let refused = reply.refused.into_iter();
        refused
            .filter_map(|(id, _)| self.over(&id, messages::RunOutcome::NotStarted, 0))
            .collect()
    }

    /// An order was surely not sent.
    pub fn unsent(&mut self, order: &messages::Order) -> Vec<Over> {
        let starts = order.starts.iter();
        starts
            .filter_map(|start| self.over(&start.id, messages::RunOutcome::NotStarted, 0))
            .collect()
    }

    /// A watch was answered, with the ends that are new.
    pub fn report_received(&mut self, now_ms: u64, report: messages::Report) -> Vec<Over> {
        let is_news = self.hear(now_ms, report.runner, report.clock_ms, report.sequence);
        self.directives_position = report.directives_position;
        let mut over = Vec::new();
        for end in report.ends {
            if end.number > self.acked {
                self.acked = end.number;
                over.extend(self.over(&end.id, end.how, end.ran_ms));
            }
        }
        if is_news {
            self.load = report.load;
            self.note_waiting(now_ms, &report.runs, &report.waiting);
            over.extend(self.reconcile(now_ms, report.sequence, &report.runs));
        }
        over
    }

    /// Keeps apart what waits at the runner and what runs, of all that it holds: time in the
    /// line says nothing of how fast the backend server is.
    fn note_waiting(&mut self, now_ms: u64, held: &[messages::RunId], waiting: &[messages::RunId]) {
        for id in held {
            let Some(placed) = self.placed.get_mut(id) else {
                continue;
            };
            let waits = waiting.contains(id);
            if placed.waits && !waits {
                placed.ordered_ms = now_ms;
            }
            placed.waits = waits;
        }
    }

    /// Runs that the runner doesn't hold, and whose ends it hasn't told, are over.
    ///
    /// An answer to an order may be lost, or the runner's life may have ended with all it
    /// knew. A later life takes work only when nothing of the former one runs any more.
    fn reconcile(&mut self, now_ms: u64, sequence: u64, held: &[messages::RunId]) -> Vec<Over> {
        let held: collections::HashSet<_> = held.iter().collect();
        let is_ready = self.load.readiness == messages::Readiness::Ready;
        let life = self.life;
        let mut lost = Vec::new();
        for (id, placed) in &mut self.placed {
            if Some(placed.life) != life {
                if is_ready {
                    lost.push(id.clone());
                }
            } else if held.contains(id) {
                placed.accepted.get_or_insert(sequence);
            } else if let Some(accepted) = placed.accepted {
                if accepted < sequence {
                    lost.push(id.clone());
                }
            } else if now_ms > placed.valid_until_ms + ORDER_VALID_MS {
                lost.push(id.clone());
            }
        }
        let over = lost
            .iter()
            .filter_map(|id| self.over(id, messages::RunOutcome::Stopped, 0));
        over.collect()
    }

    /// What is over because nothing was heard for so long.
    pub fn lapse(&mut self, now_ms: u64) -> Vec<Over> {
        if now_ms <= self.alive_sent_ms + RUN_EXPIRY_MS {
            return Vec::new();
        }
        let ids: Vec<_> = self.placed.keys().cloned().collect();
        ids.iter()
            .filter_map(|id| self.over(id, messages::RunOutcome::Stopped, 0))
            .collect()
    }

    fn over(
        &mut self,
        id: &messages::RunId,
        how: messages::RunOutcome,
        ran_ms: u64,
    ) -> Option<Over> {
        let placed = self.placed.remove(id)?;
        Some(Over {
            id: id.clone(),
            placed,
            how,
            ran_ms,
        })
    }
}
