//! What runs in the background of a failure test: callers, and eyes on the revisions.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use bulrushtiller::api;
use bulrushtiller_standins::processes;

use crate::rig;

/// Longest wait of a call of the background callers.
const CALL_LIMIT: time::Duration = time::Duration::from_secs(60);

/// Milliseconds since 1970, as the workers' journals count.
pub fn unix_ms() -> u64 {
    bulrushtiller::clock::unix_ms()
}

/// Starts at certain workers within a span of time, for the message of an assertion.
pub fn starts_between(rig: &rig::Rig, workers: &[usize], from_ms: u64, to_ms: u64) -> Vec<u64> {
    let starts = rig.starts().into_iter();
    let there = starts.filter(|(at, _)| workers.contains(at));
    let times = there.map(|(_, one)| one.at_ms);
    times.filter(|at| (from_ms..to_ms).contains(at)).collect()
}

/// Waits until each of the processes has so late a revision in force.
pub fn wait_for_revision(addresses: &[net::SocketAddr], revision: u64) {
    for address in addresses {
        rig::wait_until("the revision is in force", || {
            let status: Option<api::Status> = rig::get(*address, "/status", rig::TOKEN);
            status.is_some_and(|status| status.revision >= Some(revision))
        });
    }
}

/// Addresses of all daemons of a rig.
pub fn daemons(rig: &rig::Rig) -> Vec<net::SocketAddr> {
    let mut all = addresses(&rig.entries);
    all.extend(addresses(&rig.runners));
    all
}

/// The addresses of processes.
pub fn addresses(of: &[processes::Process]) -> Vec<net::SocketAddr> {
    of.iter().map(processes::Process::address).collect()
}

/// Watches that no process ever reports an older revision than before.
pub struct Revisions {
    stop: sync::Arc<atomic::AtomicBool>,
    watcher: thread::JoinHandle<(usize, Vec<String>)>,
}

impl Revisions {
    /// Begins to ask these processes all the time.
    pub fn watch(addresses: Vec<net::SocketAddr>) -> Self {
        let stop = sync::Arc::new(atomic::AtomicBool::new(false));
        let is_over = sync::Arc::clone(&stop);
        let watcher = thread::spawn(move || {
            let mut last = collections::BTreeMap::new();
            let mut looks = 0;
            let mut reverts = Vec::new();
            while !is_over.load(atomic::Ordering::SeqCst) {
                for address in &addresses {
                    let status = look(*address);
                    let Some(status) = status else { continue };
                    looks += 1;
                    let before = last.insert(status.incarnation.clone(), status.revision);
                    if before.is_some_and(|before| before > status.revision) {
                        reverts.push(format!("{}: {before:?} {:?}", status.name, status.revision));
                    }
                }
                thread::sleep(time::Duration::from_millis(10));
            }
            (looks, reverts)
        });
        Self { stop, watcher }
    }

    /// Ends the watch; every answer must have been as late as the one before.
    pub fn assert_monotone(self) {
        self.stop.store(true, atomic::Ordering::SeqCst);
        let (looks, reverts) = self.watcher.join().expect("the watch goes on");
        assert!(looks > 0, "nothing was seen");
        assert!(reverts.is_empty(), "reverted: {reverts:?}");
    }
}

/// A frozen process answers nothing; it must not hold up the watch of the others.
fn look(address: net::SocketAddr) -> Option<api::Status> {
    actix_rt::System::new().block_on(async move {
        let client = awc::Client::builder().timeout(time::Duration::from_millis(300));
        let request = client.finish().get(format!("http://{address}/status"));
        request.send().await.ok()?.json().await.ok()
    })
}

/// What came of one call.
#[derive(Debug)]
pub enum Outcome {
    /// An answer, whole.
    Answered(Box<api::Answer>),
    /// No connection was made, so nothing was sent.
    NotConnected,
    /// It broke off, or what came was not an answer.
    Cut(String),
}

/// Callers that submit one job after another until they are stopped.
pub struct Callers {
    stop: sync::Arc<atomic::AtomicBool>,
    threads: Vec<thread::JoinHandle<Vec<Outcome>>>,
}

impl Callers {
    /// So many callers at each of the entries, each with jobs of `tasks` tasks.
    pub fn start(entries: &[net::SocketAddr], callers: usize, tasks: usize, ms: u64) -> Self {
        let stop = sync::Arc::new(atomic::AtomicBool::new(false));
        let places = entries
            .iter()
            .flat_map(|entry| std::iter::repeat_n(*entry, callers));
        let threads = places.enumerate().map(|(number, entry)| {
            let is_over = sync::Arc::clone(&stop);
            thread::spawn(move || call_on(entry, number, tasks, ms, &is_over))
        });
        Self {
            threads: threads.collect(),
            stop,
        }
    }

    /// Lets each caller finish its call, and gives all outcomes.
    pub fn stop(self) -> Vec<Outcome> {
        self.stop.store(true, atomic::Ordering::SeqCst);
        let join = |caller: thread::JoinHandle<_>| caller.join().expect("a caller goes on");
        self.threads.into_iter().flat_map(join).collect()
    }
}

fn call_on(
    entry: net::SocketAddr,
    caller: usize,
    tasks: usize,
    ms: u64,
    is_over: &atomic::AtomicBool,
) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    while !is_over.load(atomic::Ordering::SeqCst) {
        let mark = format!("{caller}-{}", outcomes.len());
        let payloads: Vec<_> = (0..tasks)
            .map(|at| rig::sleep(ms, &format!("{mark}-{at}")))
            .collect();
        let outcome = call(entry, &rig::job(&payloads));
        if matches!(outcome, Outcome::NotConnected) {
            thread::sleep(time::Duration::from_millis(20));
        }
        outcomes.push(outcome);
    }
    outcomes
}

/// Submits once and tells a call that was cut from one that was never made.
pub fn call(entry: net::SocketAddr, submission: &api::Submission) -> Outcome {
    let body = serde_json::to_vec(submission).expect("a document");
    actix_rt::System::new().block_on(async move {
        let client = awc::Client::builder().timeout(CALL_LIMIT).finish();
        let request = client.post(format!("http://{entry}/v1/jobs"));
        let request = request
            .bearer_auth(rig::TOKEN)
            .content_type("application/json");
        match request.send_body(body).await {
            Err(awc::error::SendRequestError::Connect(_)) => Outcome::NotConnected,
            Err(e) => Outcome::Cut(e.to_string()),
            Ok(mut response) => match response.json().await {
                Ok(answer) => Outcome::Answered(Box::new(answer)),
                Err(e) => Outcome::Cut(e.to_string()),
            },
        }
    })
}

/// The answers; fails on a call that was cut.
pub fn answers(outcomes: Vec<Outcome>) -> Vec<api::Answer> {
    let mut answers = Vec::new();
    for outcome in outcomes {
        match outcome {
            Outcome::Answered(answer) => answers.push(*answer),
            Outcome::NotConnected => {}
            Outcome::Cut(why) => panic!("a request in progress was cut: {why}"),
        }
    }
    answers
}
