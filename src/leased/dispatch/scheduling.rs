//! Sends the tasks of waiting jobs to runners with free capacity.

use std::collections;
use std::sync;

use smol_str::SmolStr;

use crate::health;
use crate::leased::dispatch;
use crate::leased::dispatch::admission;
use crate::leased::dispatch::jobs;
use crate::leased::dispatch::placement;
use crate::leased::dispatch::runners;
use crate::leased::dispatch::runners::runs;
use crate::leased::dispatch::urgency;
use crate::leased::dispatch::watching;
use crate::leased::messages;

/// Free capacity of one service while its waiting jobs are placed.
struct ServiceCapacity {
    candidates: Vec<placement::Candidate>,
    /// Processor demand of the largest requested task, in thousandths of a core.
    largest_milli: u32,
    has_waiting: bool,
    /// Declared work of the jobs that wait and have not started, by class.
    waiting_work: [u64; messages::URGENCY_CLASSES],
}

impl ServiceCapacity {
    const fn with_candidates(candidates: Vec<placement::Candidate>) -> Self {
        Self {
            candidates,
            largest_milli: 0,
            has_waiting: false,
            waiting_work: [0; messages::URGENCY_CLASSES],
        }
    }

    fn remaining(&self) -> watching::RemainingCapacity {
        let has_capacity = |candidate: &&placement::Candidate| {
            candidate.task_allowance > 0 && candidate.free.cpu_milli >= self.largest_milli
        };
        watching::RemainingCapacity {
            runners_with_capacity: self.candidates.iter().filter(has_capacity).count(),
            has_waiting: self.has_waiting,
        }
    }
}

/// Least processor demand of the tasks of a service that wait for capacity, in thousandths of a
/// core.
#[derive(Clone, Copy, Debug)]
struct LeastNeed {
    /// Of all tasks.
    cpu_milli: u32,
    /// Of the tasks that may wait for capacity at a runner.
    queued_milli: u32,
}

impl Default for LeastNeed {
    fn default() -> Self {
        Self {
            cpu_milli: u32::MAX,
            queued_milli: u32::MAX,
        }
    }
}

/// What becomes of a job that was not placed at once.
#[derive(Clone, Copy, Debug)]
enum Admitted {
    /// All its tasks were placed after all.
    Placed,
    /// It waits.
    Waits,
    /// It is refused.
    Refused(admission::Forecast),
}

/// Whether a job may use the headroom for the most urgent queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HeadroomUse {
    /// It leaves the headroom free.
    Forbidden,
    /// It may use the headroom.
    Allowed,
}

/// What follows from the placement of the waiting jobs.
#[derive(Default)]
struct Plan {
    /// Runs to order at each runner.
    starts: collections::BTreeMap<runners::RunnerKey, Vec<runs::PlannedRun>>,
    /// Jobs whose callers have left.
    abandoned: Vec<jobs::JobKey>,
}

impl dispatch::Dispatcher {
    /// Places the tasks of waiting jobs, the most urgent job first.
    pub(super) fn schedule(&mut self, now_ms: u64) -> Vec<dispatch::Action> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let mut ranked: Vec<_> = std::mem::take(&mut self.waiting);
        ranked.retain(|key| {
            self.jobs
                .get(*key)
                .is_some_and(|open| open.ready_tasks().next().is_some())
        });
        ranked.sort_by_cached_key(|key| {
            urgency::rank(&dispatch::urgency_view(&self.jobs[*key]), now_ms)
        });
        let least = self.least_needs(now_ms, &ranked);
        let mut plan = Plan::default();
        let mut capacities: collections::BTreeMap<SmolStr, ServiceCapacity> =
            collections::BTreeMap::new();
        let mut refused = Vec::new();
        for key in ranked {
            let service = self.jobs[key].service.clone();
            let capacity = capacities.entry(service.clone()).or_insert_with(|| {
                let candidates = self.candidates(now_ms, &service, least[&service]);
                ServiceCapacity::with_candidates(candidates)
            });
            if self.place(now_ms, key, capacity, &mut plan, HeadroomUse::Forbidden) {
                continue;
            }
            match self.admit(now_ms, key, capacity, &mut plan) {
                Admitted::Placed => {}
                Admitted::Waits => {
                    capacity.has_waiting = true;
                    self.waiting.push(key);
                }
                Admitted::Refused(forecast) => refused.push((key, forecast)),
            }
        }
        if self.admission.is_enabled() {
            for (service, capacity) in &capacities {
                let is_waiting = capacity.waiting_work.map(|work| work > 0);
                self.admission.update_waiting(now_ms, service, is_waiting);
            }
        }
        let mut actions = Vec::new();
        for (key, forecast) in refused {
            actions.extend(self.refuse_early(now_ms, key, &forecast));
        }
        for key in plan.abandoned {
            self.counts.cancelled += 1;
            actions.extend(self.end_job(now_ms, key, None, "caller found disconnected"));
        }
        for (runner, starts) in plan.starts {
            actions.extend(self.send_order(now_ms, runner, starts, Vec::new()));
        }
        for (service, capacity) in capacities {
            actions.extend(self.probe_for_capacity(now_ms, &service, capacity.remaining()));
        }
        actions
    }

    /// Returns the least free capacity of a runner that a waiting job could use, in thousandths of
    /// a core; 0 if a waiting job could use space in its wait queue, too.
    pub(super) fn wanted_milli(&self, now_ms: u64, runner: &runners::Runner) -> u32 {
        let service = &runner.load.service;
        let headroom_share = self.headroom.share(service);
        let may_use_headroom = self.admission.is_enabled() && self.headroom.is_usable(service);
        let waiting = self.waiting.iter().filter_map(|key| self.jobs.get(*key));
        let wanted = waiting.filter(|open| open.service == *service).map(|open| {
            let class = urgency::wait(&dispatch::urgency_view(open), now_ms).class;
            if !urgency::leaves_headroom(class) {
                return 0;
            }
            let tasks = open.ready_tasks();
            let need_milli = tasks.map(|index| open.need(index).cpu_milli).min();
            let need_milli = need_milli.unwrap_or(0);
            if may_use_headroom && !urgency::uses_spare_capacity_only(class) {
                return need_milli;
            }
            let spare_milli = placement::spare_milli(
                class,
                headroom_share,
                runner.load.size.cpu_milli,
                need_milli,
            );
            need_milli.saturating_add(spare_milli)
        });
        wanted.min().unwrap_or(u32::MAX)
    }

    /// Returns the least needs of the tasks that wait for capacity, by service.
    fn least_needs(
        &self,
        now_ms: u64,
        waiting: &[jobs::JobKey],
    ) -> collections::HashMap<SmolStr, LeastNeed> {
        let mut by_service: collections::HashMap<SmolStr, LeastNeed> = collections::HashMap::new();
        for key in waiting {
            let open = &self.jobs[*key];
            let wait = urgency::wait(&dispatch::urgency_view(open), now_ms);
            let needs = open.ready_tasks().map(|index| open.need(index).cpu_milli);
            let need_milli = needs.min().unwrap_or(0);
            let least = by_service.entry(open.service.clone()).or_default();
            least.cpu_milli = least.cpu_milli.min(need_milli);
            if wait.most_ms > 0 {
                least.queued_milli = least.queued_milli.min(need_milli);
            }
        }
        by_service
    }

    /// Returns the runners that accept work and where the smallest waiting task fits, or may wait.
    fn candidates(
        &self,
        now_ms: u64,
        service: &str,
        least: LeastNeed,
    ) -> Vec<placement::Candidate> {
        let directives = self.directives.latest();
        let headroom_share = self.headroom.share(service);
        let accepts_work = |runner: &runners::Runner| {
            let load = &runner.load;
            runner.is_usable(now_ms)
                && load.service == service
                && !directives.is_zone_out(&load.zone)
        };
        let usable = self
            .watched_runners()
            .filter(|(_, runner)| accepts_work(runner));
        let candidates = usable.filter_map(|(key, runner)| {
            let free = runner.free();
            let queue_free_milli = runner.queue_free_milli();
            let [most_queue_free_milli, ..] = queue_free_milli;
            if free.cpu_milli < least.cpu_milli && most_queue_free_milli < least.queued_milli {
                return None;
            }
            let allowance = self.health.allowance(now_ms, key);
            Some(placement::Candidate {
                key,
                free,
                size_milli: runner.load.size.cpu_milli,
                queue_free_milli,
                queue_taken_milli: 0,
                headroom_share,
                is_suspect: allowance.is_suspect || allowance.trust != health::Trust::Full,
                task_allowance: self.task_allowance(now_ms, key, runner),
                is_same_zone: runner.load.zone == self.zone,
                preference: runner.preference,
                labels: sync::Arc::clone(&runner.load.labels),
            })
        });
        candidates.collect()
    }

    fn has_usable_runner(&self, now_ms: u64, service: &str) -> bool {
        self.watched_runners()
            .any(|(_, runner)| runner.load.service == service && runner.is_usable(now_ms))
    }

    /// Decides whether a job that found no capacity may use the headroom, waits or is refused; counts
    /// its work if it waits.
    fn admit(
        &mut self,
        now_ms: u64,
        key: jobs::JobKey,
        capacity: &mut ServiceCapacity,
        plan: &mut Plan,
    ) -> Admitted {
        let open = &self.jobs[key];
        let may_refuse =
            self.admission.is_enabled() && self.has_usable_runner(now_ms, &open.service);
        if !may_refuse || open.has_started() {
            return Admitted::Waits;
        }
        let view = dispatch::urgency_view(open);
        let class = urgency::wait(&view, now_ms).class;
        let job = admission::WaitingJob {
            class,
            is_new: open.arrived_ms == now_ms,
            slack_ms: urgency::slack_ms(&view, now_ms),
            ahead: capacity.waiting_work[usize::from(class)],
            work: open.job.work(),
        };
        let refusal = self.admission.refusal(now_ms, &open.service, &job);
        let may_use_headroom = urgency::leaves_headroom(class)
            && !urgency::uses_spare_capacity_only(class)
            && (refusal.is_some() || job.is_last_chance())
            && self.headroom.is_usable(&open.service);
        if may_use_headroom && self.place(now_ms, key, capacity, plan, HeadroomUse::Allowed) {
            return Admitted::Placed;
        }
        let Some(forecast) = refusal else {
            let waiting_work = &mut capacity.waiting_work[usize::from(class)];
            *waiting_work = waiting_work.saturating_add(job.work);
            return Admitted::Waits;
        };
        Admitted::Refused(forecast)
    }

    /// Places the tasks of a job that are ready, unless its callers have left; returns whether none of
    /// them waits any longer.
    fn place(
        &mut self,
        now_ms: u64,
        key: jobs::JobKey,
        capacity: &mut ServiceCapacity,
        plan: &mut Plan,
        headroom_use: HeadroomUse,
    ) -> bool {
        let open = &mut self.jobs[key];
        let has_started = open.has_started();
        let wait = urgency::wait(&dispatch::urgency_view(open), now_ms);
        let requests: Vec<_> = open
            .ready_tasks()
            .map(|index| request(open, index, wait, headroom_use))
            .collect();
        let largest_milli = requests.iter().map(|request| request.need.cpu_milli).max();
        capacity.largest_milli = capacity.largest_milli.max(largest_milli.unwrap_or(0));
        let counts = open.placed_by_step();
        let placed = if urgency::is_all_or_nothing(wait.class) {
            placement::place_all(&requests, &mut capacity.candidates, counts)
        } else {
            placement::place(&requests, &mut capacity.candidates, counts)
        };
        if !placed.is_empty() && self.callers.have_all_left(&open.waiters) {
            plan.abandoned.push(key);
            return true;
        }
        let all_placed = placed.len() == requests.len();
        if open.precedence == 0 && !placed.is_empty() {
            let waiting = placed.iter().filter(|target| target.waits).count();
            self.headroom
                .record_placed(now_ms, &open.service, placed.len(), waiting);
        }
        if !has_started && !placed.is_empty() {
            self.admission
                .placed(now_ms, &open.service, wait.class, open.job.work());
        }
        for target in placed {
            let (index, runner) = (target.task, target.runner);
            let id = open.next_run_id(index);
            open.tasks[index].state = jobs::State::Assigned(runner);
            let step = &open.job.steps[usize::from(open.tasks[index].step)];
            self.counts.ordered += 1;
            let planned = runs::PlannedRun {
                start: messages::Start {
                    id,
                    spec: sync::Arc::clone(&open.job.spec),
                    need: step.need,
                    wait: if target.waits { wait } else { wait.briefly() },
                    expected_ms: step.estimate_ms,
                    label: step.label.clone(),
                },
                waits: target.waits,
                job: key,
                task: index,
                expected_ms: step.estimate_ms,
                kind: open.kind,
                number: self.counts.ordered,
            };
            plan.starts.entry(runner).or_default().push(planned);
        }
        all_placed
    }
}

fn request(
    open: &jobs::OpenJob,
    index: usize,
    wait: messages::Wait,
    headroom_use: HeadroomUse,
) -> placement::Request<'_> {
    let step = &open.job.steps[usize::from(open.tasks[index].step)];
    placement::Request {
        task: index,
        step: open.tasks[index].step,
        need: step.need,
        label: step.label.as_ref(),
        rack: step.rack.as_ref(),
        max_per_server: step.max_per_server,
        may_wait: wait.most_ms > 0,
        class: wait.class,
        uses_headroom: headroom_use == HeadroomUse::Allowed,
    }
}
