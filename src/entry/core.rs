//! The entry's state machine, without network, clock or system randomness.
//!
//! Events come in as method calls with the monotonic time in milliseconds, and the
//! resulting work is returned as [`Action`]s. The methods are implemented in sibling
//! modules: [`crate::entry::calls`] for callers, [`crate::entry::attempts`] for the
//! outcomes of dispatches, [`crate::entry::scheduling`] for placing queued tasks and
//! [`crate::entry::tick`] for timers.

use std::sync;

use rand::SeedableRng;
use smol_str::SmolStr;

use crate::admission::drain;
use crate::admission::retry_after;
use crate::api;
use crate::claims;
use crate::claims::pace;
use crate::entry::inflight;
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

/// An effect that the driver of the state machine has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a dispatch to a runner and report its reply or error.
    Dispatch {
        /// The runner's address.
        address: SmolStr,
        /// The dispatch to send.
        dispatch: Box<wire::Dispatch>,
    },
    /// Send a fence to a runner on a fresh connection and report its reply.
    Fence {
        /// The runner's address.
        address: SmolStr,
        /// The fence to send.
        fence: wire::Fence,
    },
    /// Send the final answer to every call that waits for this submission.
    Answer {
        /// The submission's key.
        submission: jobs::Key,
        /// The final answer.
        answer: Box<api::Answer>,
    },
    /// Append a record to the log's claims stream and report when the append ends.
    AppendClaims(claims::Record),
    /// Repeat the calls that wait for the claim on this id.
    ClaimSettled(claims::ScopedId),
}

/// An attempt that was sent to a runner and has no known outcome yet.
#[derive(Clone, Debug)]
pub struct InFlight {
    /// The task.
    pub task: jobs::TaskKey,
    /// The runner.
    pub runner: membership::RunnerKey,
    /// The runner's epoch that the dispatch carried.
    pub epoch: u64,
    /// The team whose share the run time is charged to.
    pub team: queue::TeamKey,
    /// The resources accounted for on the runner.
    pub need: wire::Resources,
    /// The team and kind of the task, as the health tracker knows them.
    pub kind: health::Kind,
    /// Expected run time in milliseconds.
    pub expected_ms: u64,
    /// Queue rank to restore if the task is requeued unstarted.
    pub rank_ms: u64,
    /// When the dispatch was sent.
    pub sent_ms: u64,
    /// Whether the runner had a free slot at that time, so that the task is taken to
    /// have started at once.
    pub had_free_slot: bool,
    /// When to query the runner if no reply has arrived.
    pub query_at_ms: u64,
    /// Whether the reply to the dispatch can no longer arrive.
    pub is_reply_lost: bool,
    /// Whether the attempt is being stopped.
    pub is_stopping: bool,
}

impl InFlight {
    /// Returns the queue item that this attempt was dispatched from.
    pub(crate) const fn item(&self) -> queue::Item {
        queue::Item {
            task: self.task,
            team: self.team,
            expected_ms: self.expected_ms,
            rank_ms: self.rank_ms,
        }
    }
}

/// Counters exported as metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Dispatches sent.
    pub dispatches: u64,
    /// Tasks known to have started.
    pub started: u64,
    /// Messages without progress: refused dispatches, fences and late replies.
    pub wasted: u64,
    /// Submissions accepted.
    pub accepted: u64,
    /// Submissions refused.
    pub refused: u64,
    /// Submissions that ended complete.
    pub complete: u64,
    /// Submissions that ended otherwise.
    pub failed: u64,
    /// Retries of idempotent tasks that may have run.
    pub retries: u64,
    /// Submissions passed on to the leading entry.
    pub passed_on: u64,
    /// Submissions forwarded to the entry that issued their ticket or claimed their id.
    pub forwarded: u64,
}

/// The state of one incarnation of an entry.
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
    pub(crate) in_flight: inflight::Attempts,
    pub(crate) drain: drain::DrainRate,
    pub(crate) refused_work: retry_after::RefusedWork,
    /// Slots in service divided by the number of live entries.
    pub(crate) fair_share: f64,
    pub(crate) no_runner_since_ms: Option<u64>,
    pub(crate) learned: learning::Table,
    /// Slots in service as of the last tick.
    pub(crate) slots: u32,
    pub(crate) ticket_stock: leading::TicketStock,
    pub(crate) next_attempt: u64,
    pub(crate) next_ticket: u64,
    pub(crate) is_leaving: bool,
    pub(crate) started_ms: u64,
    pub(crate) last_tick_ms: u64,
    pub(crate) counts: Counts,
    pub(crate) rng: rand_chacha::ChaCha8Rng,
}

impl Core {
    /// Creates an entry that knows no runners; `seed` makes random choices reproducible.
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
            in_flight: inflight::Attempts::default(),
            drain: drain::DrainRate::new(now_ms),
            refused_work: retry_after::RefusedWork::default(),
            fair_share: 0.0,
            no_runner_since_ms: Some(now_ms),
            learned: learning::Table::default(),
            slots: 0,
            ticket_stock: leading::TicketStock::default(),
            next_attempt: 1,
            next_ticket: 1,
            is_leaving: false,
            started_ms: now_ms,
            last_tick_ms: now_ms,
            counts: Counts::default(),
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the identity of this entry.
    pub const fn me(&self) -> &wire::Peer {
        &self.me
    }

    /// Returns the settings in force.
    pub const fn settings(&self) -> &sync::Arc<settings::Settings> {
        &self.settings
    }

    /// Returns the evidence that the settings are current.
    pub const fn freshness(&mut self) -> &mut freshness::Freshness {
        &mut self.freshness
    }

    /// Returns the health records of the runners.
    pub const fn health(&self) -> &health::Health {
        &self.health
    }

    /// Returns the known runners and entries.
    pub const fn members(&self) -> &membership::Members {
        &self.members
    }

    /// Returns the counters since the start of this incarnation.
    pub const fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns whether the entry is draining before a stop.
    pub const fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns the number of open submissions.
    pub const fn open(&self) -> usize {
        self.jobs.open()
    }

    /// Returns the number of queued tasks.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of attempts in flight.
    pub fn dispatched(&self) -> usize {
        self.in_flight.len()
    }

    /// Starts draining: new submissions are refused and open ones run to their end.
    pub const fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Puts new settings in force and dispatches queued tasks that they make placeable.
    pub fn set_settings(
        &mut self,
        now_ms: u64,
        settings: sync::Arc<settings::Settings>,
        revision: Option<u64>,
    ) -> Vec<Action> {
        self.ramps
            .settings_changed(now_ms, &self.settings, &settings, revision);
        let mut actions = self.catch_up(now_ms);
        self.queue.configure(&settings.teams);
        let teams = self.queue.teams();
        self.refused_work.retain(|key| teams.get(key).is_some());
        self.settings = settings;
        self.revision = revision;
        actions.extend(self.dispatch_queued(now_ms));
        actions
    }

    /// Handles a heartbeat from a runner or another entry and returns the reply.
    pub fn heartbeat(
        &mut self,
        now_ms: u64,
        heartbeat: &wire::Heartbeat,
    ) -> (wire::HeartbeatReply, Vec<Action>) {
        let mut actions = self.catch_up(now_ms);
        let mut tickets = None;
        match heartbeat.sender.role {
            wire::Role::Runner => {
                let observed = self.members.record_runner(now_ms, heartbeat);
                if let membership::Update::Replaced(old) = observed {
                    actions.extend(self.runner_lost(now_ms, old));
                    self.members.remove_replaced(old);
                }
                actions.extend(self.dispatch_queued(now_ms));
            }
            wire::Role::Entry => {
                let state = membership::EntryStatus {
                    is_leaving: heartbeat.leaving,
                    revision: heartbeat.revision,
                    slots: heartbeat.slots,
                };
                self.members.record_entry(now_ms, &heartbeat.sender, state);
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
        let names =
            entry_list::EntryList::new(self.me.incarnation, self.live_entries(now_ms), held);
        wire::HeartbeatReply {
            version: wire::VERSION,
            sender: self.me.clone(),
            leaving: self.is_leaving,
            revision: self.revision,
            evidence: self.freshness.evidence(now_ms),
            entries: names.entries,
            entries_digest: names.digest,
            slots: self.slots,
            tickets: None,
            bad_runners: self.bad_runners(),
        }
    }

    /// Returns the other entries that are not draining and were last seen less than
    /// `dead_after_ms` ago.
    pub fn live_entries(&self, now_ms: u64) -> Vec<wire::Peer> {
        let silence_limit_ms = u64::from(self.settings.timeouts.dead_after_ms);
        let live = self.members.entries().filter(|entry| {
            !entry.is_leaving && entry.last_seen_ms.saturating_add(silence_limit_ms) > now_ms
        });
        live.map(|entry| entry.peer.clone()).collect()
    }

    /// Handles the reply to a heartbeat of this entry.
    ///
    /// Returns whether the sender has a newer settings revision than this entry.
    pub fn heartbeat_answered(
        &mut self,
        now_ms: u64,
        request_sent_ms: u64,
        reply: &wire::HeartbeatReply,
    ) -> bool {
        if reply.sender.role == wire::Role::Entry {
            self.record_entry_reply(now_ms, reply);
        }
        for peer in reply
            .entries
            .iter()
            .filter(|peer| peer.name != self.me.name)
        {
            self.members.record_reported_entry(now_ms, peer);
        }
        if reply.revision > self.revision {
            return true;
        }
        let is_foreign = reply.sender.zone != self.me.zone;
        self.freshness
            .record_peer_reply(request_sent_ms, is_foreign, reply.evidence);
        false
    }

    fn record_entry_reply(&mut self, now_ms: u64, reply: &wire::HeartbeatReply) {
        let state = membership::EntryStatus {
            is_leaving: reply.leaving,
            revision: reply.revision,
            slots: reply.slots,
        };
        self.members.record_entry(now_ms, &reply.sender, state);
        let runners = &reply.bad_runners;
        self.warnings
            .record_report(now_ms, &reply.sender.name, runners);
        if let Some(tickets) = reply.tickets {
            self.ticket_stock.add(now_ms, &reply.sender, tickets);
        }
    }

    /// Builds the heartbeat for another process.
    ///
    /// It asks for tickets only if the process's incarnation is known.
    pub fn heartbeat_to_send(
        &mut self,
        now_ms: u64,
        to: Option<ids::Incarnation>,
    ) -> wire::Heartbeat {
        let tickets = to.map_or(0, |to| self.ticket_shortfall(now_ms, to));
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

    pub(crate) const fn new_attempt(&mut self) -> ids::Attempt {
        let number = self.next_attempt;
        self.next_attempt += 1;
        ids::Attempt {
            owner: self.me.incarnation,
            number,
        }
    }
}
