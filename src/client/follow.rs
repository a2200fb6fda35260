//! The settings in force, read from the log or, when it is down, from an entry.

use std::time;

use serde::Deserialize as _;
use smol_str::SmolStr;

use crate::client;
use crate::client::http;
use crate::client::log;
use crate::settings;
use crate::settings::record;
use crate::wire;

/// Longest time for an entry to send its whole state.
const STATE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Where to start reading a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Start {
    /// As early as the verdicts can be known, for those who want the history.
    Earliest,
    /// At the newest checkpoint, for those who want the state.
    Newest,
}

/// A record with what became of it.
#[derive(Clone, Debug)]
pub struct Applied {
    /// The record.
    pub item: log::Item,
    /// What became of it.
    pub verdict: settings::Verdict,
}

impl Applied {
    /// The change that the record holds, if it can be read and holds one.
    pub fn change(&self) -> Option<settings::Change> {
        match settings::Record::deserialize(&self.item.record) {
            Ok(settings::Record::Change(change)) => Some(change),
            _ => None,
        }
    }
}

/// A reader of the settings' stream.
#[derive(Clone, Debug)]
pub struct Follower {
    log: log::Log,
    state: settings::State,
}

impl Follower {
    /// Reads the stream to its end, and gives what was applied on the way.
    pub async fn open(
        log: log::Log,
        start: Start,
    ) -> Result<(Self, Vec<Applied>), client::ClientError> {
        let (first, items) = read_all(&log).await?;
        let state = settings::State::new();
        let mut follower = Self { log, state };
        let has_start = follower.adopt_one(first, &items, start);
        if !has_start {
            return Err(follower
                .log
                .bad("old records have expired and no checkpoint covers them"));
        }
        let applied = follower.apply(items)?;
        Ok((follower, applied))
    }

    /// Starts from a checkpoint; answers whether nothing is missing between it and the records.
    ///
    /// Records before the stream's first have expired. To start after them without a
    /// checkpoint would show a folder that was never in force.
    fn adopt_one(&mut self, first: u64, items: &[log::Item], start: Start) -> bool {
        let checkpoints = items.iter().filter_map(checkpoint);
        let mut covering: Vec<_> = checkpoints
            .filter(|found| found.position >= first)
            .collect();
        match start {
            Start::Newest => covering.reverse(),
            Start::Earliest if first == 0 => return true,
            Start::Earliest => {}
        }
        let adopts = |found: &settings::Checkpoint| self.state.adopt(found) == Ok(true);
        covering.iter().any(adopts) || first == 0
    }

    /// The settings after what was read.
    pub const fn state(&self) -> &settings::State {
        &self.state
    }

    /// The log that is read.
    pub const fn log(&self) -> &log::Log {
        &self.log
    }

    /// Reads on, waiting up to `wait` for a record.
    pub async fn next(
        &mut self,
        wait: time::Duration,
    ) -> Result<Vec<Applied>, client::ClientError> {
        let page = self.log.read(self.state.position(), wait).await?;
        self.apply(page.records)
    }

    fn apply(&mut self, items: Vec<log::Item>) -> Result<Vec<Applied>, client::ClientError> {
        let mut applied = Vec::with_capacity(items.len());
        for item in items {
            match self.state.apply_json(item.offset, &item.record) {
                settings::Verdict::Ignored => {}
                settings::Verdict::Gap { .. } => {
                    return Err(self
                        .log
                        .bad("records expired before they were read; start again"));
                }
                verdict => applied.push(Applied { item, verdict }),
            }
        }
        Ok(applied)
    }
}

/// The checkpoint in a record, if it is one that can be used.
fn checkpoint(item: &log::Item) -> Option<settings::Checkpoint> {
    match settings::Record::deserialize(&item.record) {
        Ok(settings::Record::Checkpoint(found)) if found.position <= item.offset => Some(found),
        _ => None,
    }
}

/// Reads everything that the log keeps; gives the first offset kept too.
async fn read_all(log: &log::Log) -> Result<(u64, Vec<log::Item>), client::ClientError> {
    let mut items: Vec<log::Item> = Vec::new();
    let mut first = None;
    loop {
        let from = items.last().map_or(0, |item| item.offset + 1);
        let page = log.read(from, time::Duration::ZERO).await?;
        let first = *first.get_or_insert(page.first);
        let is_end = page.records.is_empty();
        items.extend(page.records);
        let read = items.last().map_or(first, |item| item.offset + 1);
        if is_end || read >= page.next {
            return Ok((first, items));
        }
    }
}

/// The settings in force at one daemon.
pub async fn state_of(
    http: &http::Http,
    address: &SmolStr,
) -> Result<settings::State, client::ClientError> {
    let query = wire::SettingsQuery {
        version: wire::VERSION,
        position: 0,
    };
    let body = http::Body::message(&query);
    let call = http::Call::post(address, wire::SETTINGS_PATH, body, STATE_TIMEOUT);
    let reply = http.call(call).await?;
    let message: wire::SettingsReply =
        wire::decode(&reply.body).map_err(|err| reply.bad(&err.to_string()))?;
    let mut state = settings::State::new();
    if let Some(found) = message.state {
        state
            .adopt(&found)
            .map_err(|err| reply.bad(&err.to_string()))?;
    }
    Ok(state)
}

/// The settings in force: from the log, or else from the first entry that answers.
pub async fn in_force(
    http: &http::Http,
    log: Option<&SmolStr>,
    entries: &[SmolStr],
) -> Result<settings::State, client::ClientError> {
    let mut failed = None;
    if let Some(address) = log {
        let log = log::Log::new(http.clone(), address, record::STREAM);
        match Follower::open(log, Start::Newest).await {
            Ok((follower, _applied)) => return Ok(follower.state),
            Err(err) => failed = Some(err),
        }
    }
    for address in entries {
        match state_of(http, address).await {
            Ok(state) => return Ok(state),
            Err(err) => failed = failed.or(Some(err)),
        }
    }
    let nowhere = || client::ClientError::Unreachable("-".into(), "no log and no entry".into());
    Err(failed.unwrap_or_else(nowhere))
}
