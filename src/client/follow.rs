//! Reads the settings in force from the log or, when it is down, from a daemon.

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

/// Timeout of a call for the whole state of an entry.
const STATE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Time passed to the reader, which needs it only to schedule checkpoints; the tool writes
/// none.
const NO_CLOCK_MS: u64 = 0;

/// Addresses from which the settings can be read.
#[derive(Clone, Copy, Debug)]
pub struct Sources<'a> {
    /// Address of the log service.
    pub log: Option<&'a SmolStr>,
    /// Addresses of entries, each `HOST:PORT`.
    pub entries: &'a [SmolStr],
}

/// Reader of the settings stream that has reached the end of the log once.
#[derive(Clone, Debug)]
pub struct Follower {
    log: log::Log,
    reader: reader::Reader,
}

impl Follower {
    /// Reads the stream to its end, and returns the follower and the applied records.
    ///
    /// If old records have expired and no checkpoint covers them, adopts the state of an
    /// entry instead.
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
            applied.extend(follower.read_next(time::Duration::ZERO).await?);
            match follower.reader.read_status() {
                reader::ReadStatus::AtEnd => return Ok((follower, applied)),
                reader::ReadStatus::Behind => {}
                reader::ReadStatus::MissingRecords => follower.adopt_state(http, entries).await?,
                reader::ReadStatus::Stale => return Err(follower.log.bad_answer("end moved back")),
            }
        }
    }

    /// Adopts the settings in force at any of the entries or their peers, in place of the
    /// expired records.
    async fn adopt_state(
        &mut self,
        http: &http::Http,
        entries: &[SmolStr],
    ) -> Result<(), client::ClientError> {
        let (state, _reason) = fetch_state_from_any(http, entries).await;
        let checkpoint = state.map(|state| state.checkpoint(""));
        let adopted = checkpoint.is_some_and(|found| self.reader.adopt(&found).is_ok());
        if adopted && self.reader.read_status() == reader::ReadStatus::Behind {
            return Ok(());
        }
        let reason = "old records have expired, and neither a checkpoint nor an entry covers them";
        Err(self.log.bad_answer(reason))
    }

    /// Returns the settings after the records read so far.
    pub const fn state(&self) -> &settings::State {
        self.reader.state()
    }

    /// Returns the stream that is read.
    pub const fn log(&self) -> &log::Log {
        &self.log
    }

    /// Whether records expired before they were read.
    pub fn is_missing_records(&self) -> bool {
        self.reader.read_status() == reader::ReadStatus::MissingRecords
    }

    /// Reads the next page, waiting up to `wait` for a record, and returns the applied records.
    pub async fn read_next(
        &mut self,
        wait: time::Duration,
    ) -> Result<Vec<reader::Applied>, client::ClientError> {
        let page = self.log.read(self.reader.read_from(), wait).await?;
        Ok(self.reader.apply_batch(NO_CLOCK_MS, page.into()).applied)
    }
}

/// Returns the change in a record, or `None` if the record is another kind or invalid.
pub fn decode_change(applied: &reader::Applied) -> Option<settings::Change> {
    match settings::Record::deserialize(&applied.entry.document) {
        Ok(settings::Record::Change(change)) => Some(change),
        _ => None,
    }
}

/// Fetches the settings in force at one daemon.
async fn fetch_state(
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
        return Err(reply.bad_answer("expected the settings"));
    }
    let message: wire::SettingsReply =
        wire::decode(&reply.body).map_err(|err| reply.bad_answer(&err.to_string()))?;
    let mut state = settings::State::new();
    if let Some(found) = message.state {
        state
            .adopt(&found)
            .map_err(|err| reply.bad_answer(&err.to_string()))?;
    }
    for logged in message.records {
        let Some(text) = &logged.record else {
            state.skip(logged.offset);
            continue;
        };
        let document = serde_json::from_str(text);
        let document = document.map_err(|err| reply.bad_answer(&err.to_string()))?;
        state.apply_json(logged.offset, &document);
    }
    Ok(state)
}

/// Fetches the settings in force from the first daemon that answers, trying the entries and
/// then the processes in their status; without an answer, returns the first error.
///
/// An entry may serve the settings only on its port for other processes.
async fn fetch_state_from_any(
    http: &http::Http,
    entries: &[SmolStr],
) -> (Option<settings::State>, Option<client::ClientError>) {
    let mut failed = None;
    let mut peers = Vec::new();
    for address in entries {
        match fetch_state(http, address).await {
            Ok(state) => return (Some(state), None),
            Err(err) => failed = failed.or(Some(err)),
        }
        let status = survey::status(http, address).await;
        peers.extend(status.map_or_else(|_err| Vec::new(), |status| status.peers));
    }
    for peer in &peers {
        if let Ok(state) = fetch_state(http, &peer.address).await {
            return (Some(state), None);
        }
    }
    (None, failed)
}

/// Reads the settings in force from the log, or else from the first daemon that answers.
pub async fn read_settings(
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
    let (state, reason) = fetch_state_from_any(http, sources.entries).await;
    let no_source = || {
        client::ClientError::Unreachable(
            "-".into(),
            "no address of a log or an entry is given".into(),
        )
    };
    state.ok_or_else(|| failed.or(reason).unwrap_or_else(no_source))
}
