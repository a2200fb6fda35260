//! An entry's state and what it is to do, without network, clock or randomness.
//!
//! What happens comes in as method calls with the monotonic time in milliseconds;
//! what is to be done goes out as [`Action`]s. The methods stand in the modules
//! beside this one: [`crate::entry::calls`] for callers, [`crate::entry::attempts`]
//! for what becomes of dispatches, [`crate::entry::pump`] for handing out work and
//! [`crate::entry::tick`] for time.

use std::sync;

use rand::SeedableRng;
use smol_str::SmolStr;

use crate::admission::drain;
use crate::admission::retry_after;
use crate::api;
use crate::claims;
use crate::claims::pace;
use crate::entry::flights;
use crate::freshness;
use crate::health;
use crate::ids;
use crate::jobs;
use crate::leading;
use crate::learning;
use crate::membership;
use crate::membership::entry_list;
use crate::queue;
use crate::ramp;
use crate::retry;
use crate::settings;
use crate::wire;

/// What the entry's surroundings must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send this to a runner and report how it ended.
    Dispatch {
        /// The runner's address.
        address: SmolStr,
        /// The message.
        dispatch: Box<wire::Dispatch>,
    },
    /// Ask a runner on a fresh connection and report its answer.
    Fence {
        /// The runner's address.
        address: SmolStr,
        /// The message.
        fence: wire::Fence,
    },
    /// Tell all who wait for this submission.
    Answer {
        /// Which.
        submission: jobs::Key,
        /// The final answer.
        answer: Box<api::Answer>,
    },
    /// Append this to the log's stream of claims and report when that ended.
    AppendClaims(claims::Record),
    /// Have the calls about this id looked at again.
    ClaimSettled(claims::ScopedId),
}

/// An attempt that was handed to a runner and is not settled.
#[derive(Clone, Debug)]
pub struct InFlight {
    /// The task.
    pub task: jobs::TaskKey,
    /// The runner.
    pub runner: membership::RunnerKey,
    /// The runner's epoch that the dispatch carried.
    pub epoch: u64,
    /// Who pays.
    pub team: queue::TeamKey,
    /// What it is expected to take.
    pub need: wire::Resources,
    /// Its team and kind.
    pub kind: health::Kind,
    /// How long it is expected to run, in milliseconds.
    pub expected_ms: u64,
    /// Its place in the queue, should it come back unstarted.
    pub rank_ms: u64,
    /// When it was handed over.
    pub sent_ms: u64,
    /// Whether a slot seemed free, so that it runs since then.
    pub had_slot: bool,
    /// When to ask about it if nothing is heard.
    pub ask_ms: u64,
    /// Whether the answer to its dispatch can't come any more.
    pub is_lost: bool,
    /// Whether it is to be stopped.
    pub is_stopping: bool,
}

impl InFlight {
    /// The task as it waited before it was handed out.
    pub(crate) const fn item(&self) -> queue::Item {
        queue::Item {
            task: self.task,
            team: self.team,
            expected_ms: self.expected_ms,
            rank_ms: self.rank_ms,
        }
    }
}

/// Counts for the metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Dispatches sent.
    pub dispatches: u64,
    /// Tasks known to have started.
    pub started: u64,
    /// Messages that moved nothing forward: refused dispatches, fences, late answers.
    pub wasted: u64,
    /// Submissions taken in.
    pub accepted: u64,
    /// Submissions refused.
    pub refused: u64,
    /// Answers complete.
    pub complete: u64,
    /// Answers failed.
    pub failed: u64,
    /// Retries of idempotent tasks that may have run.
    pub retries: u64,
    /// Submissions passed on to the leading entry.
    pub passed_on: u64,
    /// Submissions sent on to the entry that minted their ticket or claimed their id.
    pub forwarded: u64,
}

/// The state of one life of one entry.
#[derive(Debug)]
pub struct Core {
    pub(crate) me: wire::Peer,
    pub(crate) settings: sync::Arc<settings::Settings>,
    pub(crate) revision: Option<u64>,
    pub(crate) freshness: freshness::Freshness,
    pub(crate) members: membership::Members,
    pub(crate) health: health::Health,
    pub(crate) warnings: health::warnings::Warnings,
    pub(crate) ramps: ramp::Ramps,
    pub(crate) jobs: jobs::Table,
    pub(crate) claims: claims::Table,
    pub(crate) claim_pace: pace::Pace,
    pub(crate) queue: queue::Queue,
    pub(crate) retries: retry::Retries,
    pub(crate) in_flight: flights::Flights,
    pub(crate) drain: drain::DrainRate,
    pub(crate) returning: retry_after::RefusedWork,
    /// An equal part of all slots in service, beside the other entries.
    pub(crate) part: f64,
    pub(crate) no_runner_since_ms: Option<u64>,
    pub(crate) learned: learning::Table,
    /// Slots in service, as of the last tick.
    pub(crate) slots: u32,
    pub(crate) stock: leading::TicketStock,
    pub(crate) next_attempt: u64,
    pub(crate) next_ticket: u64,
    pub(crate) is_leaving: bool,
    pub(crate) started_ms: u64,
    pub(crate) last_tick_ms: u64,
    pub(crate) counts: Counts,
    pub(crate) rng: rand_chacha::ChaCha8Rng,
}

impl Core {
    /// An entry that knows of no runner yet; `seed` feeds the breaking of ties.
    pub fn new(
        me: wire::Peer,
        settings: sync::Arc<settings::Settings>,
        now_ms: u64,
        seed: u64,
    ) -> Self {
        let retries = retry::Retries::new(&settings.policy);
        let claimer = claims::Claimer {
            entry: me.name.clone(),
            incarnation: me.incarnation,
        };
        let mut queue = queue::Queue::default();
        queue.configure(&settings.teams);
        Self {
            me,
            settings,
            revision: None,
            freshness: freshness::Freshness::default(),
            members: membership::Members::default(),
            health: health::Health::default(),
            warnings: health::warnings::Warnings::default(),
            ramps: ramp::Ramps::default(),
            jobs: jobs::Table::new(now_ms),
            claims: claims::Table::new(claimer),
            claim_pace: pace::Pace::default(),
            queue,
            retries,
            in_flight: flights::Flights::default(),
            drain: drain::DrainRate::new(now_ms),
            returning: retry_after::RefusedWork::default(),
            part: 0.0,
            no_runner_since_ms: Some(now_ms),
            learned: learning::Table::default(),
            slots: 0,
            stock: leading::TicketStock::default(),
            next_attempt: 1,
            next_ticket: 1,
            is_leaving: false,
            started_ms: now_ms,
            last_tick_ms: now_ms,
            counts: Counts::default(),
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Who this is.
    pub const fn me(&self) -> &wire::Peer {
        &self.me
    }

    /// The settings in force here.
    pub const fn settings(&self) -> &sync::Arc<settings::Settings> {
        &self.settings
    }

    /// What was heard of the settings' freshness.
    pub const fn freshness(&mut self) -> &mut freshness::Freshness {
        &mut self.freshness
    }

    /// How the runners fare.
    pub const fn health(&self) -> &health::Health {
        &self.health
    }

    /// The processes known.
    pub const fn members(&self) -> &membership::Members {
        &self.members
    }

    /// The counts so far.
    pub const fn counts(&self) -> Counts {
        self.counts
    }

    /// Whether the entry is stopping.
    pub const fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// How many submissions are open.
    pub const fn open(&self) -> usize {
        self.jobs.open()
    }

    /// How many tasks wait here.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// How many tasks are handed out.
    pub fn dispatched(&self) -> usize {
        self.in_flight.len()
    }

    /// The entry is to stop: it takes nothing new and brings to an end what it has.
    pub const fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// New settings are in force; what waits may have somewhere else to go.
    pub fn set_settings(
        &mut self,
        now_ms: u64,
        settings: sync::Arc<settings::Settings>,
        revision: Option<u64>,
    ) -> Vec<Action> {
        self.ramps
            .change(now_ms, &self.settings, &settings, revision);
        let mut actions = self.wake(now_ms);
        self.queue.configure(&settings.teams);
        let teams = self.queue.teams();
        self.returning.retain(|key| teams.get(key).is_some());
        self.settings = settings;
        self.revision = revision;
        actions.extend(self.pump(now_ms));
        actions
    }

    /// A runner or another entry said that it is there.
    pub fn heartbeat(
        &mut self,
        now_ms: u64,
        heartbeat: &wire::Heartbeat,
    ) -> (wire::HeartbeatReply, Vec<Action>) {
        let mut actions = self.wake(now_ms);
        let mut tickets = None;
        match heartbeat.sender.role {
            wire::Role::Runner => {
                let heard = self.members.record_runner(now_ms, heartbeat);
                if let membership::Update::Replaced(old) = heard {
                    actions.extend(self.runner_over(now_ms, old));
                    self.members.remove_replaced(old);
                }
                actions.extend(self.pump(now_ms));
            }
            wire::Role::Entry => {
                let news = membership::EntryStatus {
                    is_leaving: heartbeat.leaving,
                    revision: heartbeat.revision,
                    slots: heartbeat.slots,
                };
                self.members.record_entry(now_ms, &heartbeat.sender, news);
                tickets = self.grant_tickets(heartbeat.tickets);
            }
        }
        let reply = wire::HeartbeatReply {
            tickets,
            ..self.heartbeat_reply(now_ms, heartbeat.entries_held)
        };
        (reply, actions)
    }

    fn heartbeat_reply(&self, now_ms: u64, held: Option<u64>) -> wire::HeartbeatReply {
        let named =
            entry_list::EntryList::new(self.me.incarnation, self.live_entries(now_ms), held);
        wire::HeartbeatReply {
            version: wire::VERSION,
            sender: self.me.clone(),
            leaving: self.is_leaving,
            revision: self.revision,
            evidence: self.freshness.evidence(now_ms),
            entries: named.entries,
            entries_digest: named.digest,
            slots: self.slots,
            tickets: None,
            bad_runners: self.bad_runners(),
        }
    }

    /// Entries heard of lately that are not stopping.
    pub fn live_entries(&self, now_ms: u64) -> Vec<wire::Peer> {
        let bound = u64::from(self.settings.timeouts.dead_after_ms);
        let live = self
            .members
            .entries()
            .filter(|entry| !entry.is_leaving && entry.last_seen_ms.saturating_add(bound) > now_ms);
        live.map(|entry| entry.peer.clone()).collect()
    }

    /// Another entry answered a heartbeat of this one.
    pub fn heartbeat_answered(
        &mut self,
        now_ms: u64,
        asked_ms: u64,
        reply: &wire::HeartbeatReply,
    ) -> bool {
        if reply.sender.role == wire::Role::Entry {
            self.hear_reply(now_ms, reply);
        }
        for peer in reply
            .entries
            .iter()
            .filter(|peer| peer.name != self.me.name)
        {
            self.members.record_named_entry(now_ms, peer);
        }
        if reply.revision > self.revision {
            return true;
        }
        let is_foreign = reply.sender.zone != self.me.zone;
        self.freshness
            .record_peer_reply(asked_ms, is_foreign, reply.evidence);
        false
    }

    fn hear_reply(&mut self, now_ms: u64, reply: &wire::HeartbeatReply) {
        let news = membership::EntryStatus {
            is_leaving: reply.leaving,
            revision: reply.revision,
            slots: reply.slots,
        };
        self.members.record_entry(now_ms, &reply.sender, news);
        let runners = &reply.bad_runners;
        self.warnings
            .record_report(now_ms, &reply.sender.name, runners);
        if let Some(tickets) = reply.tickets {
            self.stock.add(now_ms, &reply.sender, tickets);
        }
    }

    /// The heartbeat to send to another process, where known to that life of it.
    pub fn heartbeat_to_send(
        &mut self,
        now_ms: u64,
        to: Option<ids::Incarnation>,
    ) -> wire::Heartbeat {
        let tickets = to.map_or(0, |to| self.tickets_wanted(now_ms, to));
        wire::Heartbeat {
            version: wire::VERSION,
            sender: self.me.clone(),
            leaving: self.is_leaving,
            revision: self.revision,
            evidence: self.freshness.evidence(now_ms),
            load: None,
            slots: self.slots,
            tickets,
            entries_held: None,
        }
    }

    pub(crate) const fn attempt(&mut self) -> ids::Attempt {
        let number = self.next_attempt;
        self.next_attempt += 1;
        ids::Attempt {
            owner: self.me.incarnation,
            number,
        }
    }
}
