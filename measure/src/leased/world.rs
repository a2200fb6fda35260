//! Entries, runners and backend servers that exchange messages in simulated time, in steps of a
//! millisecond. The decisions are those of the production code; only the links and the backend
//! servers are simulated.

use std::collections;

use bulrushtiller::ids;
use bulrushtiller::leased::directives;
use bulrushtiller::leased::dispatch;
use bulrushtiller::leased::dispatch::runners;
use bulrushtiller::leased::queues;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;

use crate::leased::START_MS;
use crate::leased::faults;
use crate::leased::network;
use crate::leased::runner;
use crate::leased::site;
use crate::leased::workload;

/// Timer interval of entries, in milliseconds.
const ENTRY_TICK_INTERVAL_MS: u64 = 10;

/// Time-out of an answer, in milliseconds.
const REPLY_TIMEOUT_MS: u64 = 250;

/// Pause before the next watch after one without an answer, in milliseconds.
const RETRY_PAUSE_MS: u64 = 50;

/// Pause before a caller whose entry crashed resends its job, in milliseconds.
const RESEND_MS: u64 = 1_300;

/// Time before the first arrival, in milliseconds.
pub const WARM_UP_MS: u64 = 500;

/// How long a simulation continues after the last arrival, in milliseconds.
const DRAIN_MS: u64 = 20_000;

/// A call and its outcome.
#[derive(Clone, Debug)]
pub struct Call {
    /// Queue of the job.
    pub queue: SmolStr,
    /// Time of arrival.
    pub arrived_ms: u64,
    /// Work of all tasks, in core-seconds.
    pub core_s: f64,
    /// Processor demand of each task, in thousandths of a core.
    pub task_milli: u32,
    /// Number of tasks.
    pub tasks: u32,
    /// Time by which an answer is in time.
    pub due_ms: u64,
    /// Whether the caller resent the job.
    pub is_resent: bool,
    /// Time and outcome of the answer.
    pub ended: Option<(u64, dispatch::Outcome)>,
    /// Whether the job was refused although ready backend servers had room for all its tasks.
    pub was_room_free: bool,
}

#[derive(Debug)]
pub(super) struct Entry {
    pub(super) me: ids::Incarnation,
    dispatcher: dispatch::Dispatcher,
    keys: collections::HashMap<usize, runners::RunnerKey>,
    /// Number of the open watch at each runner.
    open_watches: collections::HashMap<usize, u64>,
    /// Orders without an answer, by runner and number.
    unanswered_orders: collections::HashSet<(usize, u64)>,
}

/// The simulated site.
#[derive(Debug)]
pub struct World {
    pub(super) now_ms: u64,
    pub(super) rng: ChaCha8Rng,
    pub(super) site: site::Site,
    pub(super) entries: Vec<Entry>,
    pub(super) runners: Vec<runner::Runner>,
    in_flight: collections::VecDeque<network::InFlight>,
    calls: Vec<Call>,
    /// Run times of each job's tasks on a sound backend server of speed 1.
    pub(super) run_ms: collections::HashMap<SmolStr, Vec<u64>>,
    queues: Vec<queues::Queue>,
    /// Work of runs that ended without a result, in core-seconds.
    pub wasted_core_s: f64,
    timers: Vec<network::Timer>,
    last_watch: u64,
    pub(super) faults: Vec<faults::Fault>,
    /// Number of entry crashes, for new incarnations.
    crashes: u64,
    pub(super) arrivals: Vec<workload::Arrival>,
    /// Callers that will resend: time, index of the call, index of the entry.
    resends: Vec<(u64, usize, usize)>,
    /// Tasks that ran twice at a time.
    pub overlaps: collections::BTreeSet<String>,
}

impl World {
    /// Creates a site of idle runners that are known to every entry.
    pub fn new(site: site::Site) -> Self {
        Self::with_queues(site, vec![workload::checks(), workload::reports()])
    }

    /// Creates a site of idle runners whose entries serve the given queues.
    pub fn with_queues(site: site::Site, queues: Vec<queues::Queue>) -> Self {
        let entries = (0..site.entries).map(|at| new_entry(&site, &queues, at, 0));
        let mut world = Self {
            now_ms: START_MS,
            rng: ChaCha8Rng::seed_from_u64(3),
            entries: entries.collect(),
            runners: (0..site.runners).map(|at| runner::new(&site, at)).collect(),
            site,
            queues,
            wasted_core_s: 0.0,
            in_flight: collections::VecDeque::new(),
            calls: Vec::new(),
            run_ms: collections::HashMap::new(),
            timers: Vec::new(),
            last_watch: 0,
            faults: Vec::new(),
            crashes: 0,
            arrivals: Vec::new(),
            resends: Vec::new(),
            overlaps: collections::BTreeSet::new(),
        };
        for at in 0..world.site.entries {
            world.list_runners(at);
        }
        world
    }

    /// Runs a workload to its end with faults and returns its calls.
    pub fn run_with_faults(
        &mut self,
        arrivals: &[workload::Arrival],
        faults: Vec<faults::Fault>,
    ) -> Vec<Call> {
        self.faults = faults;
        self.run(arrivals)
    }

    /// Runs a workload to its end and returns its calls.
    pub fn run(&mut self, arrivals: &[workload::Arrival]) -> Vec<Call> {
        self.run_until(START_MS + WARM_UP_MS);
        let start_ms = self.now_ms;
        for arrival in arrivals {
            self.run_until(start_ms + arrival.at_ms);
            self.arrive(arrival);
        }
        self.run_until(self.now_ms + DRAIN_MS);
        self.calls.clone()
    }

    /// Returns the counters of each entry.
    pub fn counts(&self) -> Vec<dispatch::Counts> {
        let entries = self.entries.iter();
        entries.map(|entry| entry.dispatcher.counts()).collect()
    }

    /// Returns the number of runs ordered for each run that started.
    pub fn orders_per_start(&self) -> f64 {
        let counts = self.counts().into_iter();
        let (ordered, not_started) = counts.fold((0, 0), |(ordered, not_started), counts| {
            (ordered + counts.ordered, not_started + counts.not_started)
        });
        ordered as f64 / (ordered - not_started).max(1) as f64
    }

    /// Passes the runners of the store to an entry.
    fn list_runners(&mut self, at: usize) {
        let members: Vec<_> = (0..self.site.runners)
            .map(|runner| self.site.member(runner))
            .collect();
        let actions = self.entries[at]
            .dispatcher
            .update_listing(self.now_ms, &members);
        self.act(at, actions);
    }

    fn arrive(&mut self, arrival: &workload::Arrival) {
        let waiter = self.calls.len() as u64;
        let step = &arrival.job.steps[0];
        self.calls.push(Call {
            queue: arrival.queue.name.clone(),
            arrived_ms: self.now_ms,
            core_s: arrival.core_s(),
            task_milli: step.need.cpu_milli,
            tasks: step.tasks,
            due_ms: self.now_ms + arrival.objective_ms(&self.site) - arrival.waited_ms,
            is_resent: arrival.waited_ms > 0,
            ended: None,
            was_room_free: false,
        });
        self.run_ms
            .insert(arrival.job.id.clone(), arrival.run_ms.clone());
        self.arrivals.push(arrival.clone());
        self.submit(arrival, waiter);
    }

    fn submit(&mut self, arrival: &workload::Arrival, waiter: u64) {
        let limit_ms = arrival.queue.timeout_ms + 5 * arrival.longest_ms();
        let timeout_ms = Some(limit_ms - arrival.waited_ms);
        let job = arrival.job.clone();
        let entry = &mut self.entries[arrival.entry].dispatcher;
        let actions = entry.submit(self.now_ms, job, &arrival.queue, timeout_ms, waiter);
        self.act(arrival.entry, actions);
    }

    /// Replaces a crashed entry by a new incarnation; its callers resend to another entry.
    fn crash(&mut self, at: usize) {
        self.crashes += 1;
        self.entries[at] = new_entry(&self.site, &self.queues, at, self.crashes);
        let next_entry = (at + 1) % self.site.entries;
        for (call, arrival) in self.arrivals.iter_mut().enumerate() {
            if arrival.entry == at && self.calls[call].ended.is_none() {
                arrival.entry = next_entry;
                self.resends
                    .push((self.now_ms + RESEND_MS, call, next_entry));
            }
        }
        self.list_runners(at);
    }

    fn resend_due(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<_> = self
            .resends
            .extract_if(.., |(at_ms, _, _)| *at_ms <= now_ms)
            .collect();
        for (_, call, entry) in due {
            let mut arrival = self.arrivals[call].clone();
            if arrival.entry != entry {
                continue;
            }
            arrival.waited_ms = RESEND_MS;
            self.submit(&arrival, call as u64);
        }
    }

    fn inject_faults(&mut self) {
        let now_ms = self.now_ms;
        for at in 0..self.faults.len() {
            if let faults::Fault::Crash { at_ms, entry } = self.faults[at]
                && START_MS + at_ms == now_ms
            {
                self.crash(entry);
            }
            if let faults::Fault::Server {
                at_ms, runner, how, ..
            } = self.faults[at]
                && how == faults::ServerFault::Leaves
                && START_MS + at_ms == now_ms
            {
                self.runners[runner].capacity.leave(now_ms);
            }
        }
    }

    fn is_cut(&self, sent: &network::InFlight) -> bool {
        let direction = sent.message.direction();
        let faults = self.faults.iter();
        let mut cuts = faults.filter(|fault| fault.cuts(sent.entry, sent.runner, direction));
        cuts.any(|fault| fault.is_active(self.now_ms - START_MS))
    }

    fn expire_calls(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<_> = self
            .timers
            .extract_if(.., |timer| timer.at_ms <= now_ms)
            .collect();
        for timer in due {
            if self.entries[timer.entry].me == timer.incarnation {
                self.on_timeout(timer);
            }
        }
    }

    fn on_timeout(&mut self, timer: network::Timer) {
        let (at, runner) = (timer.entry, timer.runner);
        let entry = &mut self.entries[at];
        match timer.pending {
            network::Pending::Watch(key, number)
                if entry.open_watches.get(&runner) == Some(&number) =>
            {
                self.send_watch(at, key);
            }
            network::Pending::Order(order)
                if entry.unanswered_orders.contains(&(runner, order.number)) =>
            {
                self.start_timer(
                    at,
                    runner,
                    REPLY_TIMEOUT_MS,
                    network::Pending::ResentOrder(order.clone()),
                );
                self.send(at, runner, network::Message::Order(order));
            }
            network::Pending::ResentOrder(order)
                if entry.unanswered_orders.remove(&(runner, order.number)) =>
            {
                let key = entry.keys[&runner];
                let actions = entry.dispatcher.order_lost(self.now_ms, key, &order, false);
                self.act(at, actions);
            }
            network::Pending::Watch(..)
            | network::Pending::Order(_)
            | network::Pending::ResentOrder(_) => {}
        }
    }

    fn start_timer(
        &mut self,
        entry: usize,
        runner: usize,
        delay_ms: u64,
        pending: network::Pending,
    ) {
        self.timers.push(network::Timer {
            at_ms: self.now_ms + delay_ms,
            entry,
            incarnation: self.entries[entry].me,
            runner,
            pending,
        });
    }

    /// Records the tasks of which two runs are running.
    fn record_overlaps(&mut self) {
        let mut seen = collections::HashSet::new();
        let running = self.runners.iter().flat_map(|runner| runner.running.keys());
        for id in running {
            if !seen.insert((&id.job, id.step, id.index)) {
                self.overlaps.insert(id.to_string());
            }
        }
    }

    fn run_until(&mut self, end_ms: u64) {
        while self.now_ms < end_ms {
            self.now_ms += 1;
            self.inject_faults();
            self.resend_due();
            self.deliver();
            self.expire_calls();
            for at in 0..self.site.runners {
                self.step_runner(at);
            }
            if self.now_ms.is_multiple_of(ENTRY_TICK_INTERVAL_MS) {
                for at in 0..self.site.entries {
                    let actions = self.entries[at].dispatcher.tick(self.now_ms);
                    self.act(at, actions);
                }
            }
            self.record_overlaps();
        }
    }

    pub(super) fn send(&mut self, entry: usize, runner: usize, message: network::Message) {
        self.in_flight.push_back(network::InFlight {
            at_ms: self.now_ms + self.site.latency_ms,
            entry,
            incarnation: self.entries[entry].me,
            runner,
            message,
        });
    }

    fn deliver(&mut self) {
        while self
            .in_flight
            .front()
            .is_some_and(|sent| sent.at_ms <= self.now_ms)
        {
            let Some(sent) = self.in_flight.pop_front() else {
                return;
            };
            let is_for_former_incarnation = sent.message.direction() == faults::Direction::ToEntry
                && sent.incarnation != self.entries[sent.entry].me;
            if is_for_former_incarnation || self.is_cut(&sent) {
                continue;
            }
            let (entry, runner, now_ms) = (sent.entry, sent.runner, self.now_ms);
            match sent.message {
                network::Message::Order(order) => {
                    let (reply, actions) =
                        self.runners[runner].capacity.order(now_ms, order.clone());
                    self.call_backend(runner, actions);
                    // A reply to a former incarnation can't be delivered.
                    if sent.incarnation == self.entries[entry].me {
                        self.send(entry, runner, network::Message::Reply(order, reply));
                    }
                }
                network::Message::Watch(watch, number) => {
                    let until_ms = now_ms + watch.wait_ms;
                    let receiver = &mut self.runners[runner];
                    let actions = receiver.capacity.watch(now_ms, &watch);
                    receiver.watches.insert(watch.entry, (until_ms, number));
                    self.call_backend(runner, actions);
                }
                network::Message::Reply(order, reply) => {
                    let held = &mut self.entries[entry];
                    if !held.unanswered_orders.remove(&(runner, order.number)) {
                        continue;
                    }
                    let key = held.keys[&runner];
                    let dispatcher = &mut self.entries[entry].dispatcher;
                    let actions = dispatcher.order_answered(now_ms, key, &order, reply);
                    self.act(entry, actions);
                }
                network::Message::WatchAnswer(report, number) => {
                    // A report that arrives after the time-out is dropped.
                    if self.entries[entry].open_watches.get(&runner) != Some(&number) {
                        continue;
                    }
                    let key = self.entries[entry].keys[&runner];
                    let dispatcher = &mut self.entries[entry].dispatcher;
                    let actions = dispatcher.report_received(now_ms, key, report);
                    self.act(entry, actions);
                    self.send_watch(entry, key);
                }
            }
        }
    }

    /// Sends an entry's next watch at a runner, if there is one.
    fn send_watch(&mut self, entry: usize, key: runners::RunnerKey) {
        let next = self.entries[entry].dispatcher.next_watch(self.now_ms, key);
        if let Some((address, watch)) = next {
            let runner = runner_at(&address);
            self.last_watch += 1;
            let number = self.last_watch;
            let held = &mut self.entries[entry];
            held.keys.insert(runner, key);
            held.open_watches.insert(runner, number);
            let watch_timeout_ms = watch.wait_ms + REPLY_TIMEOUT_MS + RETRY_PAUSE_MS;
            self.start_timer(
                entry,
                runner,
                watch_timeout_ms,
                network::Pending::Watch(key, number),
            );
            self.send(entry, runner, network::Message::Watch(watch, number));
        }
    }

    fn act(&mut self, entry: usize, actions: Vec<dispatch::Action>) {
        for action in actions {
            match action {
                dispatch::Action::Order(_, address, order) => {
                    let runner = runner_at(&address);
                    let number = order.number;
                    self.entries[entry]
                        .unanswered_orders
                        .insert((runner, number));
                    self.start_timer(
                        entry,
                        runner,
                        REPLY_TIMEOUT_MS,
                        network::Pending::Order(order.clone()),
                    );
                    self.send(entry, runner, network::Message::Order(order));
                }
                dispatch::Action::Watch(key) => self.send_watch(entry, key),
                dispatch::Action::Fetch(holder) => panic!("unexpected fetch from {holder}"),
                dispatch::Action::Answer(waiter, outcome) => {
                    let at = usize::try_from(waiter).expect("a small number");
                    self.calls[at].ended = Some((self.now_ms, outcome));
                    if matches!(outcome, dispatch::Outcome::NotRun { .. }) {
                        self.calls[at].was_room_free = self.has_room(&self.calls[at]);
                    }
                }
            }
        }
    }
}

/// Returns the index of the runner with this address.
fn runner_at(address: &str) -> usize {
    let (host, _) = address.split_once(':').expect("a port");
    let (_, runner) = host.rsplit_once('.').expect("an address");
    runner.parse().expect("a number")
}

fn new_entry(site: &site::Site, queues: &[queues::Queue], at: usize, generation: u64) -> Entry {
    let me = ids::Incarnation(1 + at as u64 + 1_000 * generation);
    let mut dispatcher = dispatch::Dispatcher::new(me, site.zone_of(at))
        .with_watch_set(site.watch_set)
        .with_early_refusal(site.early_refusal);
    dispatcher.update_directives(directives::Directives {
        position: 3,
        version: 3,
        queues: queues.into(),
        ..directives::Directives::default()
    });
    Entry {
        me,
        dispatcher,
        keys: collections::HashMap::new(),
        open_watches: collections::HashMap::new(),
        unanswered_orders: collections::HashSet::new(),
    }
}
