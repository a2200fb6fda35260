//! Entries, runners and backend servers that pass messages in simulated time, a millisecond
//! a step. Everything decided is the product's; only the ways and the backend servers are
//! played.

use std::collections;

use bulrushtiller::ids;
use bulrushtiller::leased::capacity;
use bulrushtiller::leased::dispatch;
use bulrushtiller::leased::dispatch::runners;
use bulrushtiller::leased::messages;
use bulrushtiller::leased::ports;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;

use super::faults;
use super::network;
use super::runner;
use super::site;
use super::workload;
use crate::leased::fixtures;
use crate::leased::fixtures::START_MS;

/// One way between an entry and a runner, in milliseconds.
const WAY_MS: u64 = 1;

/// How often entries and runners look at the time, in milliseconds.
const ENTRY_TICK_MS: u64 = 10;
const RUNNER_TICK_MS: u64 = 20;

/// How long an answer is waited for, in milliseconds.
const REPLY_LIMIT_MS: u64 = 250;

/// Pause before a runner that didn't answer is watched again, in milliseconds.
const RETRY_PAUSE_MS: u64 = 50;

/// Pause of a caller whose entry died, in milliseconds.
const RESEND_MS: u64 = 1_300;

/// How long a play goes on after the last arrival, in milliseconds.
const AFTER_MS: u64 = 20_000;

/// What became of one call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its queue.
    pub queue: SmolStr,
    /// Until when its answer is in time.
    pub due_ms: u64,
    /// Whether its caller has come again.
    pub is_again: bool,
    /// When it was answered, and how.
    pub ended: Option<(u64, dispatch::Outcome)>,
}

struct Entry {
    me: ids::Incarnation,
    dispatcher: dispatch::Dispatcher,
    keys: collections::HashMap<usize, runners::RunnerKey>,
    /// The number of the open watch at each runner.
    watches: collections::HashMap<usize, u64>,
    /// Orders that have no answer yet, by runner and number.
    unanswered: collections::HashSet<(usize, u64)>,
}

/// The whole of it.
pub struct World {
    now_ms: u64,
    rng: ChaCha8Rng,
    site: site::Site,
    entries: Vec<Entry>,
    runners: Vec<runner::Runner>,
    letters: collections::VecDeque<network::Letter>,
    calls: Vec<Call>,
    run_ms: collections::HashMap<SmolStr, u64>,
    timers: Vec<network::Timer>,
    last_watch: u64,
    troubles: Vec<faults::Trouble>,
    lives: u64,
    arrivals: Vec<workload::Arrival>,
    /// Callers that will come again: when, which call, and by which entry.
    returning: Vec<(u64, usize, usize)>,
    /// Tasks that ran twice at once.
    pub overlaps: collections::BTreeSet<String>,
}

impl World {
    /// A site whose runners are known to every entry and empty.
    pub fn new(site: site::Site) -> Self {
        let mut world = Self {
            now_ms: START_MS,
            rng: ChaCha8Rng::seed_from_u64(3),
            site,
            entries: (0..site.entries)
                .map(|at| new_entry(&site, at, 0))
                .collect(),
            runners: (0..site.runners).map(|at| runner::new(&site, at)).collect(),
            letters: collections::VecDeque::new(),
            calls: Vec::new(),
            run_ms: collections::HashMap::new(),
            timers: Vec::new(),
            last_watch: 0,
            troubles: Vec::new(),
            lives: 0,
            arrivals: Vec::new(),
            returning: Vec::new(),
            overlaps: collections::BTreeSet::new(),
        };
        for at in 0..site.entries {
            world.introduce(at);
        }
        world
    }

    /// Plays a load to its end, under troubles.
    pub fn play_under(
        &mut self,
        arrivals: &[workload::Arrival],
        troubles: Vec<faults::Trouble>,
    ) -> Vec<Call> {
        self.troubles = troubles;
        self.play(arrivals)
    }

    /// Plays a load to its end.
    pub fn play(&mut self, arrivals: &[workload::Arrival]) -> Vec<Call> {
        self.run_until(START_MS + 500);
        let begin_ms = self.now_ms;
        for arrival in arrivals {
            self.run_until(begin_ms + arrival.at_ms);
            self.arrive(arrival);
        }
        self.run_until(self.now_ms + AFTER_MS);
        self.calls.clone()
    }

    fn introduce(&mut self, at: usize) {
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
        let due_ms = self.now_ms + arrival.run_ms * 16 / 10 + 60 - arrival.waited_ms;
        self.calls.push(Call {
            queue: arrival.queue.name.clone(),
            due_ms,
            is_again: arrival.waited_ms > 0,
            ended: None,
        });
        self.run_ms.insert(arrival.job.id.clone(), arrival.run_ms);
        self.arrivals.push(arrival.clone());
        self.submit(arrival, waiter);
    }

    fn submit(&mut self, arrival: &workload::Arrival, waiter: u64) {
        let timeout_ms = Some(1_500 + 5 * arrival.run_ms - arrival.waited_ms);
        let job = arrival.job.clone();
        let entry = &mut self.entries[arrival.entry].dispatcher;
        let actions = entry.submit(self.now_ms, job, &arrival.queue, timeout_ms, waiter);
        self.act(arrival.entry, actions);
    }

    /// An entry dies, and another one begins in its place; its callers come again elsewhere.
    fn lose(&mut self, at: usize) {
        self.lives += 1;
        self.entries[at] = new_entry(&self.site, at, self.lives);
        let elsewhere = (at + 1) % self.site.entries;
        for (call, arrival) in self.arrivals.iter_mut().enumerate() {
            if arrival.entry == at && self.calls[call].ended.is_none() {
                arrival.entry = elsewhere;
                self.returning
                    .push((self.now_ms + RESEND_MS, call, elsewhere));
            }
        }
        self.introduce(at);
    }

    fn come_again(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<_> = self
            .returning
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

    fn bring_trouble(&mut self) {
        let now_ms = self.now_ms;
        for at in 0..self.troubles.len() {
            if let faults::Trouble::Loss { at_ms, entry } = self.troubles[at]
                && START_MS + at_ms == now_ms
            {
                self.lose(entry);
            }
        }
    }

    fn is_cut(&self, letter: &network::Letter) -> bool {
        let way = letter.message.way();
        let troubles = self.troubles.iter();
        let mut cuts = troubles.filter(|trouble| trouble.cuts(letter.entry, letter.runner, way));
        cuts.any(|trouble| trouble.is_on(self.now_ms - START_MS))
    }

    fn wait_for_answers(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<_> = self
            .timers
            .extract_if(.., |timer| timer.at_ms <= now_ms)
            .collect();
        for timer in due {
            if self.entries[timer.entry].me == timer.life {
                self.overdue(timer);
            }
        }
    }

    fn overdue(&mut self, timer: network::Timer) {
        let (at, runner) = (timer.entry, timer.runner);
        let entry = &mut self.entries[at];
        match timer.overdue {
            network::Overdue::Watch(key, number) if entry.watches.get(&runner) == Some(&number) => {
                self.ask(at, key);
            }
            network::Overdue::Order(order)
                if entry.unanswered.contains(&(runner, order.number)) =>
            {
                self.wait_for(
                    at,
                    runner,
                    REPLY_LIMIT_MS,
                    network::Overdue::OrderAgain(order.clone()),
                );
                self.send(at, runner, network::Message::Order(order));
            }
            network::Overdue::OrderAgain(order)
                if entry.unanswered.remove(&(runner, order.number)) =>
            {
                let key = entry.keys[&runner];
                let actions = entry.dispatcher.order_lost(self.now_ms, key, &order, false);
                self.act(at, actions);
            }
            network::Overdue::Watch(..)
            | network::Overdue::Order(_)
            | network::Overdue::OrderAgain(_) => {}
        }
    }

    fn wait_for(&mut self, entry: usize, runner: usize, limit_ms: u64, overdue: network::Overdue) {
        self.timers.push(network::Timer {
            at_ms: self.now_ms + limit_ms,
            entry,
            life: self.entries[entry].me,
            runner,
            overdue,
        });
    }

    /// Notes tasks of which two runs are at work.
    fn note_overlaps(&mut self) {
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
            self.bring_trouble();
            self.come_again();
            self.deliver();
            self.wait_for_answers();
            for at in 0..self.site.runners {
                self.step_runner(at);
            }
            if self.now_ms.is_multiple_of(ENTRY_TICK_MS) {
                for at in 0..self.site.entries {
                    let actions = self.entries[at].dispatcher.tick(self.now_ms);
                    self.act(at, actions);
                }
            }
            self.note_overlaps();
        }
    }

    fn send(&mut self, entry: usize, runner: usize, message: network::Message) {
        self.letters.push_back(network::Letter {
            at_ms: self.now_ms + WAY_MS,
            entry,
            life: self.entries[entry].me,
            runner,
            message,
        });
    }

    fn deliver(&mut self) {
        while self
            .letters
            .front()
            .is_some_and(|letter| letter.at_ms <= self.now_ms)
        {
            let Some(letter) = self.letters.pop_front() else {
                return;
            };
            let is_for_another_life = letter.message.way() == faults::Way::ToEntry
                && letter.life != self.entries[letter.entry].me;
            if is_for_another_life || self.is_cut(&letter) {
                continue;
            }
            let (entry, runner, now_ms) = (letter.entry, letter.runner, self.now_ms);
            match letter.message {
                network::Message::Order(order) => {
                    let (reply, actions) = self.runners[runner].room.order(now_ms, order.clone());
                    self.call_backend(runner, actions);
                    // An answer to a life that is over goes nowhere.
                    if letter.life == self.entries[entry].me {
                        self.send(entry, runner, network::Message::Ordered(order, reply));
                    }
                }
                network::Message::Watch(watch, number) => {
                    let until_ms = now_ms + watch.wait_ms;
                    let runner_held = &mut self.runners[runner];
                    let actions = runner_held.room.watch(now_ms, &watch);
                    runner_held.watches.insert(watch.entry, (until_ms, number));
                    self.call_backend(runner, actions);
                }
                network::Message::Ordered(order, reply) => {
                    let held = &mut self.entries[entry];
                    if !held.unanswered.remove(&(runner, order.number)) {
                        continue;
                    }
                    let key = held.keys[&runner];
                    let dispatcher = &mut self.entries[entry].dispatcher;
                    let actions = dispatcher.order_answered(now_ms, key, &order, reply);
                    self.act(entry, actions);
                }
                network::Message::Reported(report, number) => {
                    // A report that comes after its time limit is not heard.
                    if self.entries[entry].watches.get(&runner) != Some(&number) {
                        continue;
                    }
                    let key = self.entries[entry].keys[&runner];
                    let dispatcher = &mut self.entries[entry].dispatcher;
                    let actions = dispatcher.report_received(now_ms, key, report);
                    self.act(entry, actions);
                    self.ask(entry, key);
                }
            }
        }
    }

    /// An entry's next watch at a runner, if there is one.
    fn ask(&mut self, entry: usize, key: runners::RunnerKey) {
        let asked = self.entries[entry].dispatcher.next_watch(self.now_ms, key);
        if let Some((address, watch)) = asked {
            let runner = runner_at(&address);
            self.last_watch += 1;
            let number = self.last_watch;
            let held = &mut self.entries[entry];
            held.keys.insert(runner, key);
            held.watches.insert(runner, number);
            let limit_ms = watch.wait_ms + REPLY_LIMIT_MS + RETRY_PAUSE_MS;
            self.wait_for(
                entry,
                runner,
                limit_ms,
                network::Overdue::Watch(key, number),
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
                    self.entries[entry].unanswered.insert((runner, number));
                    self.wait_for(
                        entry,
                        runner,
                        REPLY_LIMIT_MS,
                        network::Overdue::Order(order.clone()),
                    );
                    self.send(entry, runner, network::Message::Order(order));
                }
                dispatch::Action::Watch(key) => self.ask(entry, key),
                dispatch::Action::Fetch(holder) => panic!("every entry was told; asked {holder}"),
                dispatch::Action::Answer(waiter, outcome) => {
                    let at = usize::try_from(waiter).expect("a small number");
                    self.calls[at].ended = Some((self.now_ms, outcome));
                }
            }
        }
    }

    fn is_unanswered(&mut self) -> bool {
        self.rng
            .random_ratio(self.site.unanswered_in_thousand, 1_000)
    }

    /// Orders to a backend server; one that it leaves unanswered it doesn't carry out either.
    fn call_backend(&mut self, at: usize, actions: Vec<capacity::Action>) {
        for action in actions {
            let is_lost = self.is_unanswered();
            let now_ms = self.now_ms;
            match action {
                capacity::Action::Start(call) => {
                    let id = call.start.id;
                    let answer = if is_lost {
                        (now_ms + call.timeout_ms, id, ports::StartAnswer::Lost)
                    } else {
                        let run_ms = self.run_ms[&id.job];
                        let runner = &mut self.runners[at];
                        runner.running.insert(id.clone(), now_ms + run_ms);
                        (now_ms + 1, id, ports::StartAnswer::Started)
                    };
                    self.runners[at].started.push(answer);
                }
                capacity::Action::Stop(call) if !is_lost => {
                    let runner = &mut self.runners[at];
                    if runner.running.remove(&call.id).is_some() {
                        runner.end(call.id.clone(), messages::RunOutcome::Stopped);
                    }
                    runner.stopped.push((now_ms + 1, call.id));
                }
                capacity::Action::Stop(_) => {}
            }
        }
    }

    fn step_runner(&mut self, at: usize) {
        let now_ms = self.now_ms;
        self.runners[at].finish(now_ms);
        let mut actions = self.runners[at].hear_answers(now_ms);
        if let Some(heard) = self.runners[at].take_listing(now_ms) {
            let asked_ms = self.runners[at].listing.asked_ms;
            actions.extend(self.runners[at].room.listed(now_ms, asked_ms, heard));
            let is_lost = self.is_unanswered();
            self.runners[at].ask_backend(now_ms, is_lost);
        }
        if now_ms.is_multiple_of(RUNNER_TICK_MS) {
            actions.extend(self.runners[at].room.tick(now_ms));
        }
        self.call_backend(at, actions);
        for entry in 0..self.site.entries {
            let me = self.entries[entry].me;
            if let Some((report, number)) = self.runners[at].report_due(now_ms, me) {
                self.send(entry, at, network::Message::Reported(report, number));
            }
        }
    }
}

/// Which runner answers at an address.
fn runner_at(address: &str) -> usize {
    let (host, _) = address.split_once(':').expect("a port");
    let (_, runner) = host.rsplit_once('.').expect("an address");
    runner.parse().expect("a number")
}

fn new_entry(site: &site::Site, at: usize, life: u64) -> Entry {
    let me = ids::Incarnation(1 + at as u64 + 1_000 * life);
    let mut dispatcher =
        dispatch::Dispatcher::new(me, site.zone_of(at)).with_watch_set(site.watch_set);
    let mut directives = fixtures::directives(3);
    directives.queues = [workload::checks(), workload::reports()].into();
    dispatcher.update_directives(directives);
    Entry {
        me,
        dispatcher,
        keys: collections::HashMap::new(),
        watches: collections::HashMap::new(),
        unanswered: collections::HashSet::new(),
    }
}
