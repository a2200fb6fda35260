//! One command's changes to the settings: read, rehearse, publish, wait.

use std::time;

use actix_rt::time as rt_time;
use smol_str::SmolStr;

use crate::cli;
use crate::client;
use crate::client::follow;
use crate::client::publish;
use crate::client::rollout;
use crate::client::settle;
use crate::cmd::change;
use crate::cmd::change::report;
use crate::codes;
use crate::settings;
use crate::settings::record;

/// A change to be made: a new text for a file, or its removal.
#[derive(Clone, Debug)]
pub struct Edit {
    /// The change's id.
    pub id: SmolStr,
    /// The file.
    pub file: SmolStr,
    /// Its new text; absent: it is removed.
    pub text: Option<String>,
    /// See [`record::Change::base`].
    pub base: Option<u64>,
}

/// Makes one command's changes to the settings.
#[derive(Debug)]
pub struct Editor<'a> {
    options: &'a change::Options,
    http: client::Http,
    follower: follow::Follower,
    outcome: report::Outcome,
}

impl<'a> Editor<'a> {
    /// Reads the settings in force; the log must be there, or nothing can be changed.
    pub async fn open(options: &'a change::Options) -> cli::CliResult<Self> {
        if options.wait {
            options.config.entries()?;
        }
        let http = client::Http::open();
        let entries = options.config.known_entries();
        let log = options.config.log()?;
        let until = time::Instant::now() + options.limit;
        let follower = open_follower(&http, log, entries, until).await?;
        Ok(Self {
            options,
            http,
            follower,
            outcome: report::Outcome::default(),
        })
    }

    /// The settings in force as last read.
    pub const fn state(&self) -> &settings::State {
        self.follower.state()
    }

    /// What a change would lead to.
    pub fn rehearse(&self, edit: &Edit) -> settings::Verdict {
        publish::rehearse(self.state(), &self.change(edit))
    }

    /// Makes one change; answers whether it is in force.
    ///
    /// A change that would be rejected as things stand is not published at all.
    pub async fn apply(&mut self, edit: &Edit) -> cli::CliResult<bool> {
        let change = self.change(edit);
        let trial = self.rehearse(edit);
        let report = if matches!(trial, settings::Verdict::Accepted { .. }) {
            let until = time::Instant::now() + self.options.limit;
            let verdict = publish::publish(&mut self.follower, &change, until).await;
            report::Report::new(
                &change,
                verdict.map_err(|err| unsure(&err, &change))?,
                false,
            )
        } else {
            report::Report::new(&change, trial, true)
        };
        let good = report.code == codes::Code::Complete;
        self.outcome.changes.push(report);
        Ok(good)
    }

    fn change(&self, edit: &Edit) -> record::Change {
        let order = publish::Order {
            author: self.options.author.clone(),
            id: edit.id.clone(),
            file: edit.file.clone(),
            text: edit.text.clone(),
            base: edit.base,
        };
        order.into()
    }

    /// Waits for the last revision if that was asked for, and gives everything that was done.
    ///
    /// Where nothing was left to change that is the one in force on the log: a script that
    /// repeats a command which was not in force in time must not take the repeat's silence
    /// for an end of the wait.
    pub async fn finish(mut self) -> cli::CliResult<report::Outcome> {
        let awaited = if self.outcome.changes.is_empty() {
            self.state().revision()
        } else {
            self.outcome.revision()
        };
        if let Some(revision) = awaited.filter(|_revision| self.options.wait) {
            let entries = self.options.config.entries()?;
            let until = time::Instant::now() + self.options.limit;
            let missing = rollout::missing(&self.http, entries, revision, until).await;
            self.outcome.missing = Some(missing);
        }
        Ok(self.outcome)
    }
}

/// Reads the log to its end, also after a short outage.
async fn open_follower(
    http: &client::Http,
    log: &SmolStr,
    entries: &[SmolStr],
    until: time::Instant,
) -> Result<follow::Follower, client::ClientError> {
    let mut pauses = settle::pauses();
    loop {
        match follow::Follower::open(http, log, entries).await {
            Ok((follower, _applied)) => return Ok(follower),
            Err(err @ client::ClientError::LogDown(..)) if time::Instant::now() < until => {
                let pause = pauses.next().ok_or(err)?;
                rt_time::sleep(pause).await;
            }
            Err(err) => return Err(err),
        }
    }
}

/// Tells that a change may have been made although its end was not seen.
fn unsure(err: &client::ClientError, change: &record::Change) -> cli::CliError {
    let id = &change.id;
    let text = format!("{err}; it may have been made: the same change with --id {id} does no harm");
    cli::CliError::failed(err.code(), text)
}
