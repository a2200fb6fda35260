//! The settings in force, read from the log or, when it is down, from an entry.

use std::time;

use serde::Deserialize as _;
use smol_str::SmolStr;

use crate::client;
use crate::client::http;
use crate::client::log;
use crate::client::survey;
use crate::settings;
use crate::settings::reader;
use crate::settings::record;
use crate::wire;

/// Longest time for an entry to send its whole state.
const STATE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// The reader's clock: it serves the writing of checkpoints only, and the tool writes none.
const NO_CLOCK_MS: u64 = 0;

/// Where settings can be read.
#[derive(Clone, Copy, Debug)]
pub struct Sources<'a> {
    /// The address of the log service.
    pub log: Option<&'a SmolStr>,
    /// Entries, each `HOST:PORT`.
    pub entries: &'a [SmolStr],
}

/// A reader of the settings' stream that is past its end.
#[derive(Clone, Debug)]
pub struct Follower {
    log: log::Log,
    reader: reader::Reader,
}

impl Follower {
    /// Reads the stream to its end, and gives the records that had their turn.
    ///
    /// Where old records have expired without a checkpoint, an entry's state takes
    /// their place.
    pub async fn open(
        http: &http::Http,
        log: &SmolStr,
        entries: &[SmolStr],
    ) -> Result<(Self, Vec<reader::Applied>), client::ClientError> {
        let mut follower = Self {
            log: log::Log::new(http.clone(), log, record::STREAM),
            reader: reader::Reader::new(settings::State::new(), NO_CLOCK_MS),
        };
        let mut applied = Vec::new();
        loop {
            applied.extend(follower.next(time::Duration::ZERO).await?);
            match follower.reader.read_status() {
                reader::ReadStatus::AtEnd => return Ok((follower, applied)),
                reader::ReadStatus::Behind => {}
                reader::ReadStatus::MissingRecords => follower.ask_entries(http, entries).await?,
                reader::ReadStatus::Stale => return Err(follower.log.bad("its end went back")),
            }
        }
    }

    async fn ask_entries(
        &mut self,
        http: &http::Http,
        entries: &[SmolStr],
    ) -> Result<(), client::ClientError> {
        let (state, _why) = state_of_any(http, entries).await;
        let checkpoint = state.map(|state| state.checkpoint(""));
        let adopted = checkpoint.is_some_and(|found| self.reader.adopt(&found).is_ok());
        if adopted && self.reader.read_status() == reader::ReadStatus::Behind {
            return Ok(());
        }
        let why = "old records have expired, and neither a checkpoint nor an entry covers them";
        Err(self.log.bad(why))
    }

    /// The settings after what was read.
    pub const fn state(&self) -> &settings::State {
        self.reader.state()
    }

    /// The log that is read.
    pub const fn log(&self) -> &log::Log {
        &self.log
    }

    /// Whether records expired before they were read.
    pub fn is_lacking(&self) -> bool {
        self.reader.read_status() == reader::ReadStatus::MissingRecords
    }

    /// Reads on, waiting up to `wait` for a record.
    pub async fn next(
        &mut self,
        wait: time::Duration,
    ) -> Result<Vec<reader::Applied>, client::ClientError> {
        let page = self.log.read(self.reader.read_from(), wait).await?;
        Ok(self.reader.apply_batch(NO_CLOCK_MS, page.into()).applied)
    }
}

/// The change that a record holds, if it can be read and holds one.
pub fn change_of(applied: &reader::Applied) -> Option<settings::Change> {
    match settings::Record::deserialize(&applied.entry.document) {
        Ok(settings::Record::Change(change)) => Some(change),
        _ => None,
    }
}

/// The settings in force at one daemon.
async fn state_of(
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
    if !reply.is_ok() {
        return Err(reply.bad("no settings here"));
    }
    let message: wire::SettingsReply =
        wire::decode(&reply.body).map_err(|err| reply.bad(&err.to_string()))?;
    let mut state = settings::State::new();
    if let Some(found) = message.state {
        state
            .adopt(&found)
            .map_err(|err| reply.bad(&err.to_string()))?;
    }
    for logged in message.records {
        let Some(text) = &logged.record else {
            state.skip(logged.offset);
            continue;
        };
        let document = serde_json::from_str(text);
        let document = document.map_err(|err| reply.bad(&err.to_string()))?;
        state.apply_json(logged.offset, &document);
    }
    Ok(state)
}

/// The settings in force at the first that answers, of the entries and of the processes
/// that they name; or else why the first did not.
///
/// An entry may keep the settings on its port for other processes only.
async fn state_of_any(
    http: &http::Http,
    entries: &[SmolStr],
) -> (Option<settings::State>, Option<client::ClientError>) {
    let mut failed = None;
    let mut peers = Vec::new();
    for address in entries {
        match state_of(http, address).await {
            Ok(state) => return (Some(state), None),
            Err(err) => failed = failed.or(Some(err)),
        }
        let status = survey::status(http, address).await;
        peers.extend(status.map_or_else(|_silent| Vec::new(), |status| status.peers));
    }
    for peer in &peers {
        if let Ok(state) = state_of(http, &peer.address).await {
            return (Some(state), None);
        }
    }
    (None, failed)
}

/// The settings in force: from the log, or else from the first process that answers.
pub async fn in_force(
    http: &http::Http,
    sources: Sources<'_>,
) -> Result<settings::State, client::ClientError> {
    let mut failed = None;
    if let Some(log) = sources.log {
        match Follower::open(http, log, sources.entries).await {
            Ok((follower, _applied)) => return Ok(follower.reader.state().clone()),
            Err(err) => failed = Some(err),
        }
    }
    let (state, why) = state_of_any(http, sources.entries).await;
    let nowhere =
        || client::ClientError::Unreachable("-".into(), "neither a log nor an entry".into());
    state.ok_or_else(|| failed.or(why).unwrap_or_else(nowhere))
}
