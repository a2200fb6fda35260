//! Background threads of tests: callers, and a monitor of settings revisions.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use bulrushtiller::api;
use bulrushtiller_standins::processes;

use crate::rig;

/// Time-out of a call.
const CALL_LIMIT: time::Duration = time::Duration::from_secs(60);

/// Returns the Unix time in milliseconds, as in the workers' journals.
pub fn unix_ms() -> u64 {
    bulrushtiller::clock::unix_ms()
}

/// Returns the Unix times in ms of the starts at `workers` in `from_ms..to_ms`.
pub fn starts_between(rig: &rig::Rig, workers: &[usize], from_ms: u64, to_ms: u64) -> Vec<u64> {
    let starts = rig.starts().into_iter();
    let at_workers = starts.filter(|(at, _)| workers.contains(at));
    let times = at_workers.map(|(_, one)| one.at_ms);
    times.filter(|at| (from_ms..to_ms).contains(at)).collect()
}

/// Waits until all processes have this revision or a later one in force.
pub fn wait_for_revision(addresses: &[net::SocketAddr], revision: u64) {
    for address in addresses {
        rig::wait_until("the revision is in force", || {
            let status: Option<api::Status> = rig::get(*address, "/status", rig::TOKEN);
            status.is_some_and(|status| status.revision >= Some(revision))
        });
    }
}

/// Returns the addresses of all entries and runners of a rig.
pub fn daemons(rig: &rig::Rig) -> Vec<net::SocketAddr> {
    let mut all = addresses(&rig.entries);
    all.extend(addresses(&rig.runners));
    all
}

/// Returns the addresses of processes.
pub fn addresses(list: &[processes::Process]) -> Vec<net::SocketAddr> {
    list.iter().map(processes::Process::address).collect()
}

/// Monitor that detects processes whose settings revert to an older revision.
pub struct RevisionMonitor {
    stop: sync::Arc<atomic::AtomicBool>,
    monitor: thread::JoinHandle<(usize, Vec<String>)>,
}

impl RevisionMonitor {
    /// Starts to poll the status of these processes.
    pub fn watch(addresses: Vec<net::SocketAddr>) -> Self {
        let stop = sync::Arc::new(atomic::AtomicBool::new(false));
        let is_stopped = sync::Arc::clone(&stop);
        let monitor = thread::spawn(move || {
            let mut last = collections::BTreeMap::new();
            let mut status_count = 0;
            let mut reverts = Vec::new();
            while !is_stopped.load(atomic::Ordering::SeqCst) {
                for address in &addresses {
                    let status = fetch_status(*address);
                    let Some(status) = status else { continue };
                    status_count += 1;
                    let before = last.insert(status.incarnation.clone(), status.revision);
                    if before.is_some_and(|before| before > status.revision) {
                        reverts.push(format!("{}: {before:?} {:?}", status.name, status.revision));
                    }
                }
                thread::sleep(time::Duration::from_millis(10));
            }
            (status_count, reverts)
        });
        Self { stop, monitor }
    }

    /// Stops polling and asserts that no incarnation reported an older revision than before.
    pub fn assert_monotone(self) {
        self.stop.store(true, atomic::Ordering::SeqCst);
        let (status_count, reverts) = self.monitor.join().expect("the monitor thread ends");
        assert!(status_count > 0, "no status was received");
        assert!(
            reverts.is_empty(),
            "reverted to an older revision: {reverts:?}"
        );
    }
}

/// Fetches the status with a short time-out, so that a suspended process does not delay polling.
fn fetch_status(address: net::SocketAddr) -> Option<api::Status> {
    actix_rt::System::new().block_on(async move {
        let client = awc::Client::builder().timeout(time::Duration::from_millis(300));
        let request = client.finish().get(format!("http://{address}/status"));
        request.send().await.ok()?.json().await.ok()
    })
}

/// Result of one call.
#[derive(Debug)]
pub enum Outcome {
    /// A complete answer was received.
    Answered(Box<api::Answer>),
    /// No connection could be opened, so nothing was sent.
    NotConnected,
    /// The call failed after the connection was made, or the response is not an answer.
    Interrupted(String),
}

/// Caller threads that submit one job after another until stopped.
pub struct Callers {
    stop: sync::Arc<atomic::AtomicBool>,
    threads: Vec<thread::JoinHandle<Vec<Outcome>>>,
}

impl Callers {
    /// Starts `callers` callers at each entry, which submit jobs of `tasks` tasks of `ms` each.
    pub fn start(entries: &[net::SocketAddr], callers: usize, tasks: usize, ms: u64) -> Self {
        let stop = sync::Arc::new(atomic::AtomicBool::new(false));
        let targets = entries
            .iter()
            .flat_map(|entry| std::iter::repeat_n(*entry, callers));
        let threads = targets.enumerate().map(|(number, entry)| {
            let is_stopped = sync::Arc::clone(&stop);
            thread::spawn(move || submit_until_stopped(entry, number, tasks, ms, &is_stopped))
        });
        Self {
            threads: threads.collect(),
            stop,
        }
    }

    /// Waits until each caller has finished its call and returns all outcomes.
    pub fn stop(self) -> Vec<Outcome> {
        self.stop.store(true, atomic::Ordering::SeqCst);
        let join = |caller: thread::JoinHandle<_>| caller.join().expect("a caller thread ends");
        self.threads.into_iter().flat_map(join).collect()
    }
}

fn submit_until_stopped(
    entry: net::SocketAddr,
    caller: usize,
    tasks: usize,
    ms: u64,
    is_stopped: &atomic::AtomicBool,
) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    while !is_stopped.load(atomic::Ordering::SeqCst) {
        let mark = format!("{caller}-{}", outcomes.len());
        let payloads: Vec<_> = (0..tasks)
            .map(|at| rig::sleep_payload(ms, &format!("{mark}-{at}")))
            .collect();
        let outcome = submit_once(entry, &rig::job(&payloads));
        if matches!(outcome, Outcome::NotConnected) {
            thread::sleep(time::Duration::from_millis(20));
        }
        outcomes.push(outcome);
    }
    outcomes
}

/// Submits once and distinguishes an interrupted call from one without a connection.
pub fn submit_once(entry: net::SocketAddr, submission: &api::Submission) -> Outcome {
    let body = serde_json::to_vec(submission).expect("a document");
    actix_rt::System::new().block_on(async move {
        let client = awc::Client::builder().timeout(CALL_LIMIT).finish();
        let request = client.post(format!("http://{entry}/v1/jobs"));
        let request = request
            .bearer_auth(rig::TOKEN)
            .content_type("application/json");
        match request.send_body(body).await {
            Err(awc::error::SendRequestError::Connect(_)) => Outcome::NotConnected,
            Err(e) => Outcome::Interrupted(e.to_string()),
            Ok(mut response) => match response.json().await {
                Ok(answer) => Outcome::Answered(Box::new(answer)),
                Err(e) => Outcome::Interrupted(e.to_string()),
            },
        }
    })
}

/// Returns the answers; panics if a call was interrupted.
pub fn expect_answers(outcomes: Vec<Outcome>) -> Vec<api::Answer> {
    let mut answers = Vec::new();
    for outcome in outcomes {
        match outcome {
            Outcome::Answered(answer) => answers.push(*answer),
            Outcome::NotConnected => {}
            Outcome::Interrupted(why) => panic!("call interrupted: {why}"),
        }
    }
    answers
}
