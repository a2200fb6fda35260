//! A site of processes for one test, and calls to it.
//!
//! Calls are synchronous, so that a test reads as a sequence of steps. A test waits for
//! conditions with a long time limit and does not rely on how long a step takes.

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

/// Maximum time to wait for an expected condition or answer.
pub const WAIT_LIMIT: time::Duration = time::Duration::from_secs(30);

/// Time between two checks of a condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Teams of every rig, with their bearer tokens.
const TEAMS: [(&str, &str); 2] = [("escola", "token-a"), ("archivo", "token-b")];

/// Bearer token of the default team.
pub const TOKEN: &str = TEAMS[0].1;

/// Name of the default team.
pub const TEAM: &str = TEAMS[0].0;

/// Bearer token of the second team.
pub const OTHER_TOKEN: &str = TEAMS[1].1;

/// Processes and settings of a site.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Zones of the entries.
    pub entries: Vec<&'static str>,
    /// Zones of the runners; each runner has its own worker.
    pub runners: Vec<&'static str>,
    /// Arguments of the stand-in for the log.
    pub log: Vec<&'static str>,
    /// Additional arguments of each runner.
    pub runner_args: Vec<&'static str>,
    /// Settings besides the teams, as TOML.
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

/// Processes of one test; they are killed on drop.
pub struct Rig {
    pub site: site::Site,
    pub log: processes::Process,
    pub entries: Vec<processes::Process>,
    pub runners: Vec<processes::Process>,
    pub workers: Vec<processes::Process>,
    pub endpoints: site::Endpoints,
    _folder: tempfile::TempDir,
    _permit: permits::Permit,
}

/// Returns the folder of the built binaries.
fn program_folder() -> path::PathBuf {
    let program = path::Path::new(env!("CARGO_BIN_EXE_bulrushtillerd"));
    let folder = program
        .parent()
        .expect("the binary has a parent folder")
        .to_owned();
    let log = folder.join("standin-log");
    assert!(
        log.exists(),
        "build the workspace first: cargo build --workspace --bins"
    );
    folder
}

impl Rig {
    /// Starts a site and waits until it serves requests.
    pub fn start(plan: &Plan) -> Self {
        let permit = permits::acquire();
        let folder = tempfile::tempdir().expect("a temporary folder");
        let site = site::Site::new(&program_folder(), folder.path()).logging("debug");
        let log = site.log(&plan.log).expect("the log starts");
        let endpoints = site::Endpoints {
            log: log.address(),
            entries: Vec::new(),
        };
        let mut rig = Self {
            site,
            log,
            entries: Vec::new(),
            runners: Vec::new(),
            workers: Vec::new(),
            endpoints,
            _folder: folder,
            _permit: permit,
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

    /// Starts another entry that knows the addresses of the earlier ones.
    pub fn add_entry(&mut self, name: &str, zone: &str) {
        let location = site::Location::new(name, zone);
        let entry = self
            .site
            .entry(&location, &self.endpoints)
            .expect("an entry starts");
        self.endpoints.entries.push(
            entry
                .wait_for_address("peers")
                .expect("an entry's peers port"),
        );
        self.entries.push(entry);
    }

    /// Starts another runner with its own worker.
    pub fn add_runner(&mut self, name: &str, zone: &str, extra_args: &[&str]) {
        let worker = self
            .site
            .worker(&format!("worker-of-{name}"), &[])
            .expect("a worker starts");
        let location = site::Location::new(name, zone);
        let runner = self
            .site
            .runner(&location, &self.endpoints, worker.address(), extra_args);
        self.runners.push(runner.expect("a runner starts"));
        self.workers.push(worker);
    }

    /// Waits until all runners are fresh and every entry has the newest settings and knows at
    /// least `runners` live runners that have them too.
    pub fn wait_until_serving(&self, runners: usize) {
        let next = self.next_offset("settings");
        for entry in &self.entries {
            wait_until("the entry serves requests", || {
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

    /// Returns the offset that the next append to a stream will get.
    pub fn next_offset(&self, stream: &str) -> u64 {
        let path = format!("/v1/streams/{stream}/records?from=0&max=1&wait_ms=0");
        let read: serde_json::Value = get(self.log.address(), &path, TOKEN).expect("a read");
        read["next"].as_u64().expect("an offset")
    }

    /// Appends a change of a settings file and returns its offset.
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

    /// Takes a zone out of service or back into service; returns the offset of the change.
    pub fn set_zone_out(&self, zone: &str, out: bool) -> u64 {
        let file = format!("99-zone-{zone}.toml");
        self.put_settings(&file, &format!("[zones.{zone}]\nout = {out}\n"))
    }

    /// Sends a control command to the stand-in for the log, such as `{"mode": "down"}`.
    pub fn control_log(&self, command: &serde_json::Value) {
        let done: Option<serde_json::Value> = post(self.log.address(), "/control", TOKEN, command);
        assert!(done.is_some(), "the log rejected {command}");
    }

    /// Submits through an entry; returns `None` if no readable answer comes.
    pub fn submit(&self, entry: usize, submission: &api::Submission) -> Option<api::Answer> {
        post(self.entries[entry].address(), "/v1/jobs", TOKEN, submission)
    }

    /// Fetches the answer to a submission from an entry.
    pub fn fetch(&self, entry: usize, id: &ids::SubmissionId, wait_ms: u64) -> Option<api::Answer> {
        let path = format!("/v1/submissions/{id}?wait_ms={wait_ms}");
        get(self.entries[entry].address(), &path, TOKEN)
    }

    /// Returns a ticket that the given entry issued itself.
    ///
    /// The entry may first return tickets of the leading entry. It keeps at most
    /// `TICKET_STOCK_SIZE` of those, so one more ticket than that is requested.
    pub fn ticket(&self, entry: usize) -> ids::SubmissionId {
        let count = leading::TICKET_STOCK_SIZE + 1;
        let ticket_request = api::TicketOrder { count };
        let entry = &self.entries[entry];
        let issued: Option<api::Tickets> =
            post(entry.address(), "/v1/tickets", TOKEN, &ticket_request);
        let is_own = |id: &ids::SubmissionId| match id {
            ids::SubmissionId::Ticket(ticket) => ticket.entry == entry.name(),
            ids::SubmissionId::Own(_) => false,
        };
        let mut issued = issued.expect("tickets").tickets.into_iter();
        issued.find(is_own).expect("a ticket that the entry issued")
    }

    /// Returns all task starts, each as the worker's index and the journal entry.
    pub fn starts(&self) -> Vec<(usize, worker::Entry)> {
        let mut starts = Vec::new();
        for (at, worker) in self.workers.iter().enumerate() {
            let journal: Option<worker::Journal> =
                get(worker.address(), "/v1/journal?from=0", TOKEN);
            let entries = journal.expect("a journal").entries;
            let started = entries
                .into_iter()
                .filter(|one| one.event == worker::Event::Start);
            starts.extend(started.map(|one| (at, one)));
        }
        starts
    }

    /// Returns the number of starts of tasks with this payload at all workers.
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

/// Returns the status of a process.
pub fn status(address: net::SocketAddr) -> api::Status {
    get(address, "/status", TOKEN).expect("a status")
}

/// Returns a submission id chosen by the client.
pub fn own_id(text: &str) -> ids::SubmissionId {
    ids::SubmissionId::try_from(SmolStr::new(text)).expect("an own id")
}

/// Returns a payload that makes the stand-in worker sleep and then output the label.
pub fn sleep_payload(ms: u64, label: &str) -> String {
    format!("{{\"sleep_ms\": {ms}, \"output\": \"{label}\"}}")
}

/// Returns a job of tasks with these payloads whose caller waits up to 20 s for the answer.
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

/// Waits until the condition holds; panics after [`WAIT_LIMIT`].
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = time::Instant::now() + WAIT_LIMIT;
    while !condition() {
        assert!(
            time::Instant::now() < deadline,
            "timed out waiting until {what}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}

/// Fetches a JSON document; returns `None` if no readable answer comes.
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
        response.json().limit(MAX_BODY_BYTES).await.ok()
    })
}

/// Fetches a page as text; returns `None` if no readable answer comes.
pub fn get_text(address: net::SocketAddr, path: &str) -> Option<String> {
    let url = format!("http://{address}{path}");
    actix_rt::System::new().block_on(async move {
        let mut response = client().get(url).send().await.ok()?;
        let body = response.body().limit(MAX_BODY_BYTES).await.ok()?;
        String::from_utf8(body.to_vec()).ok()
    })
}

/// Posts a JSON document and reads the JSON answer; returns `None` if none comes.
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
        response.json().limit(MAX_BODY_BYTES).await.ok()
    })
}

const MAX_BODY_BYTES: usize = 16 << 20;

fn client() -> awc::Client {
    awc::Client::builder().timeout(WAIT_LIMIT).finish()
}

/// Sends a message between processes and reads the answer.
pub fn send_message<M: Serialize, R: de::DeserializeOwned>(
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
