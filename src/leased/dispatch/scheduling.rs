//! Bringing waiting jobs to runners with room.

use std::collections;
use std::sync;

use smol_str::SmolStr;

use crate::health;
use crate::leased::dispatch;
use crate::leased::dispatch::jobs;
use crate::leased::dispatch::placement;
use crate::leased::dispatch::runners;
use crate::leased::dispatch::urgency;
use crate::leased::dispatch::watching;
use crate::leased::messages;

/// The room of one service while waiting jobs are placed.
struct Room {
    candidates: Vec<placement::Candidate>,
    /// Thousandths of a core of the largest task that was asked for.
    largest_milli: u32,
    has_waiting: bool,
}

impl Room {
    const fn of(candidates: Vec<placement::Candidate>) -> Self {
        Self {
            candidates,
            largest_milli: 0,
            has_waiting: false,
        }
    }

    fn left(&self) -> watching::Left {
        let has_room = |candidate: &&placement::Candidate| {
            candidate.places > 0 && candidate.free.cpu_milli >= self.largest_milli
        };
        watching::Left {
            with_room: self.candidates.iter().filter(has_room).count(),
            has_waiting: self.has_waiting,
        }
    }
}

/// Runs to be ordered, by runner.
type Starts = collections::HashMap<runners::RunnerKey, Vec<runners::Planned>>;

impl dispatch::Dispatcher {
    /// Places what waits, the most urgent first.
    pub(super) fn fill(&mut self, now_ms: u64) -> Vec<dispatch::Action> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let mut line: Vec<_> = std::mem::take(&mut self.waiting);
        line.retain(|key| {
            self.jobs
                .get(*key)
                .is_some_and(|open| open.ready().next().is_some())
        });
        line.sort_by_cached_key(|key| urgency::rank(&dispatch::view(&self.jobs[*key]), now_ms));
        let mut starts = Starts::new();
        let mut rooms: collections::HashMap<SmolStr, Room> = collections::HashMap::new();
        for key in line {
            let service = self.jobs[key].service.clone();
            let room = rooms
                .entry(service.clone())
                .or_insert_with(|| Room::of(self.candidates(now_ms, &service)));
            let is_all = self.place(now_ms, key, room, &mut starts);
            if !is_all {
                room.has_waiting = true;
                self.waiting.push(key);
            }
        }
        let mut actions = Vec::new();
        for (runner, starts) in starts {
            actions.extend(self.order(now_ms, runner, starts, Vec::new()));
        }
        for (service, room) in rooms {
            actions.extend(self.seek_room(now_ms, &service, room.left()));
        }
        actions
    }

    fn candidates(&self, now_ms: u64, service: &str) -> Vec<placement::Candidate> {
        let directives = self.directives.latest();
        let may_take = |runner: &runners::Runner| {
            let load = &runner.load;
            runner.is_usable(now_ms)
                && load.service == service
                && !directives.is_zone_out(&load.zone)
        };
        let usable = self
            .watched_runners()
            .filter(|(_, runner)| may_take(runner));
        let candidates = usable.map(|(key, runner)| {
            let allowance = self.health.allowance(now_ms, key);
            let most = allowance.max_tasks.unwrap_or(u32::MAX);
            let held = u32::try_from(runner.placed()).unwrap_or(u32::MAX);
            placement::Candidate {
                key,
                free: runner.free(),
                size_milli: runner.load.size.cpu_milli,
                line_milli: runner.line_milli(),
                line_taken_milli: 0,
                is_suspect: allowance.is_suspect || allowance.trust != health::Trust::Full,
                places: most.saturating_sub(held),
                is_near: runner.load.zone == self.zone,
                preference: runner.preference,
                labels: sync::Arc::clone(&runner.load.labels),
            }
        });
        candidates.collect()
    }

    /// Places the tasks of a job that can run now; whether none is left waiting.
    fn place(
        &mut self,
        now_ms: u64,
        key: jobs::JobKey,
        room: &mut Room,
        starts: &mut Starts,
    ) -> bool {
        let open = &mut self.jobs[key];
        let wait = urgency::wait(&dispatch::view(open), now_ms);
        let asks: Vec<_> = open.ready().map(|at| ask(open, at, wait)).collect();
        let largest_milli = asks.iter().map(|ask| ask.need.cpu_milli).max();
        room.largest_milli = room.largest_milli.max(largest_milli.unwrap_or(0));
        let placed = if urgency::begins_whole(wait.class) {
            placement::place_all(&asks, &mut room.candidates)
        } else {
            placement::place(&asks, &mut room.candidates)
        };
        let is_all = placed.len() == asks.len();
        for target in placed {
            let (at, runner) = (target.task, target.runner);
            let id = open.next_run(at);
            open.tasks[at].state = jobs::State::At(runner);
            let step = &open.job.steps[usize::from(open.tasks[at].step)];
            self.counts.ordered += 1;
            let planned = runners::Planned {
                start: messages::Start {
                    id,
                    spec: sync::Arc::clone(&open.job.spec),
                    need: step.need,
                    // Refused where others were first, it goes where there is room.
                    wait: if target.waits {
                        wait
                    } else {
                        wait.without_waiting()
                    },
                },
                waits: target.waits,
                job: key,
                task: at,
                expected_ms: step.estimate_ms,
                kind: open.kind,
                number: self.counts.ordered,
            };
            starts.entry(runner).or_default().push(planned);
        }
        is_all
    }
}

fn ask(open: &jobs::Open, at: usize, wait: messages::Wait) -> placement::Ask<'_> {
    let step = &open.job.steps[usize::from(open.tasks[at].step)];
    placement::Ask {
        task: at,
        step: open.tasks[at].step,
        need: step.need,
        label: step.label.as_ref(),
        rack: step.rack.as_ref(),
        max_per_server: step.max_per_server,
        may_wait: wait.most_ms > 0,
        class: wait.class,
    }
}
