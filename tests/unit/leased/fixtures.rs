//! Jobs, queues, backend servers and messages for the tests of runs under leases.

use smol_str::SmolStr;

use bulrushtiller::ids;
use bulrushtiller::leased::capacity;
use bulrushtiller::leased::directives;
use bulrushtiller::leased::dispatch;
use bulrushtiller::leased::dispatch::runners;
use bulrushtiller::leased::job;
use bulrushtiller::leased::messages;
use bulrushtiller::leased::ports;
use bulrushtiller::leased::queues;
use bulrushtiller::wire;

/// A time well after the start of every clock.
pub const START_MS: u64 = 1_000_000;

/// The runner under test.
pub const RUNNER: ids::Incarnation = ids::Incarnation(7);

/// The entry that sends orders.
pub const ENTRY: ids::Incarnation = ids::Incarnation(1);

/// Another entry.
pub const OTHER: ids::Incarnation = ids::Incarnation(2);

pub fn cores(cpu_milli: u32) -> wire::Resources {
    wire::Resources {
        cpu_milli,
        memory_mib: 0,
        accelerators: 0,
    }
}

pub fn queue() -> queues::Queue {
    queues::Queue {
        name: SmolStr::new("checks"),
        host: SmolStr::new("school.example"),
        prefix: SmolStr::new("/checks/"),
        service: SmolStr::new("taipa"),
        timeout_ms: 1_500,
        target_ms: 60,
        stretch: 1.6,
        max_attempts: 2,
        priority: 0,
        needs_advice: false,
    }
}

pub fn directives(position: u64) -> directives::Directives {
    directives::Directives {
        position,
        version: position,
        queues: [queue()].into(),
        ..directives::Directives::default()
    }
}

/// Returns a configuration of `queues` queues.
pub fn large_directives(position: u64, queues: usize) -> directives::Directives {
    let named = |at: usize| queues::Queue {
        name: smol_str::format_smolstr!("added-{at}"),
        prefix: smol_str::format_smolstr!("/added-{at}/"),
        ..queue()
    };
    directives::Directives {
        queues: (0..queues).map(named).collect(),
        ..directives(position)
    }
}

/// Returns the notice of directives in which one availability zone is out of service.
pub fn notice(position: u64, zone_out: &str) -> directives::Notice {
    directives::Notice {
        zones_out: vec![SmolStr::new(zone_out)],
        ..directives::Notice::from(&directives(position))
    }
}

/// Returns a job of one step.
pub fn job(id: u64, tasks: u32, cpu_milli: u32, estimate_ms: u64) -> job::Job {
    let raw = job::RawJob {
        id: smol_str::format_smolstr!("{id:016x}"),
        spec: "check".to_owned(),
        steps: vec![job::RawStep {
            tasks,
            need: cores(cpu_milli),
            estimate_ms,
            ..job::RawStep::default()
        }],
        unsupported: None,
    };
    job::Job::try_from(raw).expect("a valid job")
}

pub fn run_id(job: u64, index: u32, run: u32) -> messages::RunId {
    messages::RunId {
        job: smol_str::format_smolstr!("{job:016x}"),
        step: 0,
        index,
        run,
    }
}

pub fn announcement(started_at_ms: u64, sequence: u64) -> ports::Announcement {
    ports::Announcement {
        incarnation: ports::BackendIncarnation {
            name: SmolStr::new("backend-1"),
            started_at_ms,
        },
        sequence,
        is_leaving: false,
        size: cores(16_000),
        service: SmolStr::new("taipa"),
        zone: SmolStr::new("bento"),
        labels: [SmolStr::new("a"), SmolStr::new("r1-1")].into(),
    }
}

pub fn listing(clock_ms: u64, running: &[messages::RunId]) -> ports::ListAnswer {
    ports::ListAnswer::Listed(ports::Listing {
        started_at_ms: 100,
        clock_ms,
        running: running
            .iter()
            .map(|id| ports::Running {
                id: id.clone(),
                percent: 10,
            })
            .collect(),
        ended: Vec::new(),
    })
}

pub fn listing_with_end(
    clock_ms: u64,
    number: u64,
    id: messages::RunId,
    how: messages::RunOutcome,
) -> ports::ListAnswer {
    ports::ListAnswer::Listed(ports::Listing {
        started_at_ms: 100,
        clock_ms,
        running: Vec::new(),
        ended: vec![ports::Ended { number, id, how }],
    })
}

/// Returns a runner that is ready at [`START_MS`], with a backend server of 16 cores whose clock
/// shows 5,000 ms at that time.
pub fn ready_manager() -> capacity::CapacityManager {
    let mut manager = capacity::CapacityManager::new(RUNNER, 10);
    manager.announced(START_MS, announcement(100, 1));
    manager.next_list(START_MS);
    manager.listed(START_MS, START_MS, listing(5_000, &[]));
    manager
}

/// Returns a runner with one started run of the entry.
pub fn manager_with_run() -> (capacity::CapacityManager, messages::RunId) {
    let mut manager = ready_manager();
    let id = run_id(1, 0, 1);
    let (reply, actions) =
        manager.order(START_MS, order(ENTRY, 1, START_MS, &[(id.clone(), 1_600)]));
    assert!(reply.refused.is_empty());
    assert_eq!(started(&actions).len(), 1);
    manager.start_answered(START_MS + 1, &id, ports::StartAnswer::Started);
    (manager, id)
}

pub fn watch(
    entry: ids::Incarnation,
    alive_at_ms: u64,
    ordered: u64,
    wanted: &[messages::RunId],
) -> messages::Watch {
    messages::Watch {
        version: wire::VERSION,
        entry,
        runner: Some(RUNNER),
        alive_at_ms: Some(alive_at_ms),
        acked: 0,
        ordered,
        wanted: wanted.to_vec(),
        wants_room: false,
        wanted_milli: 0,
        wait_ms: 150,
        address: None,
        directives_position: 0,
        configuration: 0,
        notice: None,
    }
}

pub fn order(
    entry: ids::Incarnation,
    number: u64,
    now_ms: u64,
    starts: &[(messages::RunId, u32)],
) -> messages::Order {
    let start = |(id, cpu_milli): &(messages::RunId, u32)| messages::Start {
        id: id.clone(),
        spec: "check".into(),
        need: cores(*cpu_milli),
        wait: messages::Wait::default(),
        expected_ms: 0,
        label: None,
    };
    messages::Order {
        version: wire::VERSION,
        entry,
        runner: RUNNER,
        number,
        alive_at_ms: now_ms,
        valid_until_ms: now_ms + 300,
        starts: starts.iter().map(start).collect(),
        stops: Vec::new(),
    }
}

/// Returns a wait queue of one class.
pub fn wait_queue(class: u8, cpu_milli: u32) -> messages::WaitQueue {
    let mut queued = messages::WaitQueue::default();
    queued.add(class, cpu_milli);
    queued
}

/// Returns the load of a runner of 16 cores. While anything runs there, its wait queue is full of
/// the most urgent class.
pub fn load(used_milli: u32) -> messages::Load {
    let waiting_milli = if used_milli > 0 { 4_000 } else { 0 };
    messages::Load {
        readiness: messages::Readiness::Ready,
        size: cores(16_000),
        used: cores(used_milli),
        line: wait_queue(0, waiting_milli),
        service: SmolStr::new("taipa"),
        zone: SmolStr::new("bento"),
        labels: [SmolStr::new("r1-1")].into(),
        results: wire::ResultCounts::default(),
    }
}

pub fn report(sequence: u64, used_milli: u32, runs: &[messages::RunId]) -> messages::Report {
    messages::Report {
        version: wire::VERSION,
        runner: RUNNER,
        clock_ms: 9_000 + sequence,
        sequence,
        load: load(used_milli),
        runs: runs.to_vec(),
        waiting: Vec::new(),
        ends: Vec::new(),
        directives_position: 0,
        notice: None,
        holder: None,
    }
}

pub fn reply(sequence: u64, used_milli: u32) -> messages::OrderReply {
    messages::OrderReply {
        version: wire::VERSION,
        runner: RUNNER,
        clock_ms: 9_000 + sequence,
        sequence,
        load: load(used_milli),
        refused: Vec::new(),
    }
}

/// Returns an entry that knows one empty runner of 16 cores since [`START_MS`].
pub fn entry() -> (dispatch::Dispatcher, runners::RunnerKey) {
    let mut entry = dispatch::Dispatcher::new(ENTRY, "bento".into());
    entry.update_directives(directives(3));
    let found = entry.add_runners(START_MS - 10, &["10.0.0.1:7720".into()]);
    let [dispatch::Action::Watch(key)] = found[..] else {
        panic!("expected one watch, got {found:?}");
    };
    entry.next_watch(START_MS - 10, key);
    entry.report_received(START_MS, key, report(1, 0, &[]));
    (entry, key)
}

/// Returns the orders among the actions.
pub fn orders(actions: &[dispatch::Action]) -> Vec<messages::Order> {
    let order = |action: &dispatch::Action| match action {
        dispatch::Action::Order(_, _, order) => Some(order.clone()),
        _ => None,
    };
    actions.iter().filter_map(order).collect()
}

/// Returns the start calls among the actions.
pub fn started(actions: &[capacity::Action]) -> Vec<ports::StartCall> {
    let start = |action: &capacity::Action| match action {
        capacity::Action::Start(call) => Some(call.clone()),
        capacity::Action::Stop(_) => None,
    };
    actions.iter().filter_map(start).collect()
}

/// Returns the runs of the stop calls among the actions.
pub fn stopped(actions: &[capacity::Action]) -> Vec<messages::RunId> {
    let stop = |action: &capacity::Action| match action {
        capacity::Action::Stop(call) => Some(call.id.clone()),
        capacity::Action::Start(_) => None,
    };
    actions.iter().filter_map(stop).collect()
}
