//! A site of processes for one test, and calls to it.
//!
//! Calls are synchronous: a test reads as a sequence of steps. What takes time is
//! waited for as an event, with a generous limit.

use std::net;
use std::path;
use std::thread;
use std::time;

use bulrushtiller::api;
use bulrushtiller::ids;
use bulrushtiller::leading;
use bulrushtiller::outgoing;
use bulrushtiller_standins::processes;
use bulrushtiller_standins::site;
use bulrushtiller_standins::worker;
use serde::Serialize;
use serde::de;
use smol_str::SmolStr;

use crate::permits;

/// Longest wait for anything that is expected to happen.
pub const LIMIT: time::Duration = time::Duration::from_secs(30);

/// Pause between two looks at something waited for.
const POLL: time::Duration = time::Duration::from_millis(10);

/// The teams of every rig: name and bearer token.
const TEAMS: [(&str, &str); 2] = [("escola", "token-a"), ("archivo", "token-b")];

/// Bearer token of the team that tests use unless they say otherwise.
pub const TOKEN: &str = TEAMS[0].1;

/// Its team.
pub const TEAM: &str = TEAMS[0].0;

/// Bearer token of another team.
pub const OTHER_TOKEN: &str = TEAMS[1].1;

/// What a site consists of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Zone of each entry.
    pub entries: Vec<&'static str>,
    /// Zone of each runner; each has a worker of its own.
    pub runners: Vec<&'static str>,
    /// Arguments of the log stand-in.
    pub log: Vec<&'static str>,
    /// Further arguments of each runner.
    pub runner_args: Vec<&'static str>,
    /// Settings beside the teams, TOML.
    pub settings: String,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            entries: vec!["caxias", "bento"],
            runners: vec!["caxias", "caxias", "bento"],
            log: Vec::new(),
            runner_args: Vec::new(),
            settings: String::new(),
        }
    }
}

/// The processes of one test; dropped, they are killed.
pub struct Rig {
    pub site: site::Site,
    pub log: processes::Process,
    pub entries: Vec<processes::Process>,
    pub runners: Vec<processes::Process>,
    pub workers: Vec<processes::Process>,
    pub links: site::Endpoints,
    _folder: tempfile::TempDir,
    _turn: permits::Turn,
}

/// The folder with the built programs: the test runs from its `deps`.
fn programs() -> path::PathBuf {
    let program = path::Path::new(env!("CARGO_BIN_EXE_bulrushtillerd"));
    let folder = program
        .parent()
        .expect("a program stands in a folder")
        .to_owned();
    let log = folder.join("standin-log");
    assert!(
        log.exists(),
        "build the workspace first: cargo build --workspace --bins"
    );
    folder
}

impl Rig {
    /// Starts a site and waits until it serves.
    pub fn start(plan: &Plan) -> Self {
        let turn = permits::take();
        let folder = tempfile::tempdir().expect("a temporary folder");
        let site = site::Site::new(&programs(), folder.path()).logging("debug");
        let log = site.log(&plan.log).expect("the log starts");
        let links = site::Endpoints {
            log: log.address(),
            entries: Vec::new(),
        };
        let mut rig = Self {
            site,
            log,
            entries: Vec::new(),
            runners: Vec::new(),
            workers: Vec::new(),
            links,
            _folder: folder,
            _turn: turn,
        };
        for (at, zone) in plan.entries.iter().enumerate() {
            rig.add_entry(&format!("entry-{at}"), zone);
        }
        for (at, zone) in plan.runners.iter().enumerate() {
            rig.add_runner(&format!("runner-{at}"), zone, &plan.runner_args);
        }
        rig.put_settings("10-teams.toml", &teams());
        if !plan.settings.is_empty() {
            rig.put_settings("20-more.toml", &plan.settings);
        }
        rig.wait_until_serving(plan.runners.len());
        rig
    }

    /// Starts one more entry, which knows the ones before it.
    pub fn add_entry(&mut self, name: &str, zone: &str) {
        let place = site::Location::new(name, zone);
        let entry = self
            .site
            .entry(&place, &self.links)
            .expect("an entry starts");
        self.links.entries.push(
            entry
                .wait_for_address("peers")
                .expect("an entry's peers port"),
        );
        self.entries.push(entry);
    }

    /// Starts one more runner with a worker of its own.
    pub fn add_runner(&mut self, name: &str, zone: &str, more: &[&str]) {
        let worker = self
            .site
            .worker(&format!("worker-of-{name}"), &[])
            .expect("a worker starts");
        let place = site::Location::new(name, zone);
        let runner = self
            .site
            .runner(&place, &self.links, worker.address(), more);
        self.runners.push(runner.expect("a runner starts"));
        self.workers.push(worker);
    }

    /// Waits until every entry knows so many fresh runners and the newest settings.
    pub fn wait_until_serving(&self, runners: usize) {
        let next = self.log_next("settings");
        for entry in &self.entries {
            wait_until("the entry serves", || {
                let status = status(entry.address());
                let is_alive =
                    |peer: &&api::PeerStatus| peer.role == "runner" && peer.state == "alive";
                let is_current = |rev: Option<u64>| rev.is_some_and(|rev| rev + 1 == next);
                let known: Vec<_> = status.peers.iter().filter(is_alive).collect();
                is_current(status.revision)
                    && known.len() >= runners
                    && known.iter().all(|peer| is_current(peer.revision))
            });
        }
        for runner in &self.runners {
            wait_until("the runner is fresh", || status(runner.address()).fresh);
        }
    }

    /// Offset that the next append to a stream will get.
    pub fn log_next(&self, stream: &str) -> u64 {
        let path = format!("/v1/streams/{stream}/records?from=0&max=1&wait_ms=0");
        let read: serde_json::Value = get(self.log.address(), &path, TOKEN).expect("a read");
        read["next"].as_u64().expect("an offset")
    }

    /// Appends a change of a file, and gives its offset.
    pub fn put_settings(&self, file: &str, text: &str) -> u64 {
        let id = format!("{:x}", rand::random::<u64>());
        let record = serde_json::json!({
            "type": "change", "version": 1, "id": id, "author": "test",
            "time_ms": 0, "file": file, "text": text, "base": null,
        });
        let path = "/v1/streams/settings/records";
        let appended: serde_json::Value =
            post(self.log.address(), path, TOKEN, &record).expect("an append");
        appended["offset"].as_u64().expect("an offset")
    }

    /// Takes a zone out of service or brings it back.
    pub fn set_zone(&self, zone: &str, out: bool) -> u64 {
        let file = format!("99-zone-{zone}.toml");
        self.put_settings(&file, &format!("[zones.{zone}]\nout = {out}\n"))
    }

    /// Sets the log stand-in's mode: `{"mode": "down"}` and so on.
    pub fn control_log(&self, order: &serde_json::Value) {
        let done: Option<serde_json::Value> = post(self.log.address(), "/control", TOKEN, order);
        assert!(done.is_some(), "the log takes {order}");
    }

    /// Submits through an entry; none: there was no answer that can be read.
    pub fn submit(&self, entry: usize, submission: &api::Submission) -> Option<api::Answer> {
        post(self.entries[entry].address(), "/v1/jobs", TOKEN, submission)
    }

    /// Asks an entry for an answer.
    pub fn fetch(&self, entry: usize, id: &ids::SubmissionId, wait_ms: u64) -> Option<api::Answer> {
        let path = format!("/v1/submissions/{id}?wait_ms={wait_ms}");
        get(self.entries[entry].address(), &path, TOKEN)
    }

    /// Takes a ticket from an entry that it minted itself.
    ///
    /// Among the first it gives may be some of the entry that leads, of which it keeps no
    /// more than a stock.
    pub fn ticket(&self, entry: usize) -> ids::SubmissionId {
        let count = leading::TICKET_STOCK_SIZE + 1;
        let order = api::TicketOrder { count };
        let entry = &self.entries[entry];
        let given: Option<api::Tickets> = post(entry.address(), "/v1/tickets", TOKEN, &order);
        let is_own = |id: &ids::SubmissionId| match id {
            ids::SubmissionId::Ticket(ticket) => ticket.entry == entry.name(),
            ids::SubmissionId::Own(_) => false,
        };
        let mut given = given.expect("tickets").tickets.into_iter();
        given.find(is_own).expect("a ticket of its own")
    }

    /// Every start at every worker: the worker's index and its journal's line.
    pub fn starts(&self) -> Vec<(usize, worker::Entry)> {
        let mut starts = Vec::new();
        for (at, worker) in self.workers.iter().enumerate() {
            let journal: Option<worker::Journal> =
                get(worker.address(), "/v1/journal?from=0", TOKEN);
            let entries = journal.expect("a journal").entries;
            let begun = entries
                .into_iter()
                .filter(|one| one.event == worker::Event::Start);
            starts.extend(begun.map(|one| (at, one)));
        }
        starts
    }

    /// How often a task with this payload was started, at all workers together.
    pub fn starts_of(&self, payload: &str) -> usize {
        self.starts()
            .iter()
            .filter(|(_, one)| one.payload == payload)
            .count()
    }
}

fn teams() -> String {
    let team = |(name, token): &(&str, &str)| {
        let hash = bulrushtiller::entry::http::hash_token(token);
        format!("[teams.{name}]\ntoken_sha256 = [\"{hash}\"]\n")
    };
    TEAMS.iter().map(team).collect()
}

/// A process's status.
pub fn status(address: net::SocketAddr) -> api::Status {
    get(address, "/status", TOKEN).expect("a status")
}

/// A submission id of a client's own choice.
pub fn own_id(text: &str) -> ids::SubmissionId {
    ids::SubmissionId::try_from(SmolStr::new(text)).expect("an own id")
}

/// A payload that makes the stand-in worker sleep; the mark tells it from others.
pub fn sleep(ms: u64, mark: &str) -> String {
    format!("{{\"sleep_ms\": {ms}, \"output\": \"{mark}\"}}")
}

/// A job of tasks with these payloads that waits for its answer.
pub fn job(payloads: &[String]) -> api::Submission {
    let task = |payload: &String| api::Task {
        payload: payload.clone(),
        ..api::Task::default()
    };
    api::Submission {
        submission: None,
        deadline_ms: Some(20_000),
        wait_ms: 20_000,
        idempotent: false,
        tasks: payloads.iter().map(task).collect(),
    }
}

/// Waits until something is so.
pub fn wait_until(what: &str, is_so: impl Fn() -> bool) {
    let until = time::Instant::now() + LIMIT;
    while !is_so() {
        assert!(time::Instant::now() < until, "in vain: {what}");
        thread::sleep(POLL);
    }
}

/// Gets a JSON document.
pub fn get<R: de::DeserializeOwned>(
    address: net::SocketAddr,
    path: &str,
    token: &str,
) -> Option<R> {
    let url = format!("http://{address}{path}");
    let token = token.to_owned();
    actix_rt::System::new().block_on(async move {
        let request = client().get(url).bearer_auth(token);
        let mut response = request.send().await.ok()?;
        response.json().limit(MAX_BODY).await.ok()
    })
}

/// Gets a page as text.
pub fn get_text(address: net::SocketAddr, path: &str) -> Option<String> {
    let url = format!("http://{address}{path}");
    actix_rt::System::new().block_on(async move {
        let mut response = client().get(url).send().await.ok()?;
        let body = response.body().limit(MAX_BODY).await.ok()?;
        String::from_utf8(body.to_vec()).ok()
    })
}

/// Posts a JSON document and reads one.
pub fn post<M: Serialize, R: de::DeserializeOwned>(
    address: net::SocketAddr,
    path: &str,
    token: &str,
    message: &M,
) -> Option<R> {
    let url = format!("http://{address}{path}");
    let body = serde_json::to_vec(message).expect("a document");
    let token = token.to_owned();
    actix_rt::System::new().block_on(async move {
        let request = client()
            .post(url)
            .bearer_auth(token)
            .content_type("application/json");
        let mut response = request.send_body(body).await.ok()?;
        response.json().limit(MAX_BODY).await.ok()
    })
}

const MAX_BODY: usize = 16 << 20;

fn client() -> awc::Client {
    awc::Client::builder().timeout(LIMIT).finish()
}

/// Sends a message to a process and reads the answer.
pub fn say<M: Serialize, R: de::DeserializeOwned>(
    to: net::SocketAddr,
    path: &str,
    message: &M,
) -> R {
    let limit = time::Duration::from_secs(5);
    let to = to.to_string();
    let exchange = outgoing::post_on_new_connection(&to, path, message, limit);
    let answer = actix_rt::System::new().block_on(exchange);
    answer.expect("an answer")
}
