//! Changes the settings for a command: reads, checks, publishes and waits.

use std::time;

use actix_rt::time as rt_time;
use smol_str::SmolStr;

use crate::cli;
use crate::client;
use crate::client::exchange;
use crate::client::follow;
use crate::client::publish;
use crate::client::rollout;
use crate::cmd::change;
use crate::cmd::change::report;
use crate::codes;
use crate::settings;
use crate::settings::record;

/// Change of one file: a new text or its removal.
#[derive(Clone, Debug)]
pub struct Edit {
    /// Id of the change.
    pub id: SmolStr,
    /// Name of the file.
    pub file: SmolStr,
    /// New text of the file; `None` removes the file.
    pub text: Option<String>,
    /// Revision that the change is based on, see [`record::Change::base`].
    pub base: Option<u64>,
}

/// Makes the changes of one command and collects their results.
#[derive(Debug)]
pub struct Editor<'a> {
    options: &'a change::Options,
    http: client::Http,
    follower: follow::Follower,
    outcome: report::Outcome,
}

impl<'a> Editor<'a> {
    /// Reads the settings in force; fails if the log stays down, since no change is possible.
    pub async fn open(options: &'a change::Options) -> cli::CliResult<Self> {
        if options.wait {
            options.config.entries()?;
        }
        let http = client::Http::open();
        let entries = options.config.entries_or_empty();
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

    /// Returns the settings in force as last read.
    pub const fn state(&self) -> &settings::State {
        self.follower.state()
    }

    /// Returns the verdict that a change would have now, without publishing it.
    pub fn dry_run(&self, edit: &Edit) -> settings::Verdict {
        publish::dry_run(self.state(), &self.change(edit))
    }

    /// Makes one change and returns whether it was accepted.
    ///
    /// A change that would be rejected now is not published.
    pub async fn apply(&mut self, edit: &Edit) -> cli::CliResult<bool> {
        let change = self.change(edit);
        let expected = self.dry_run(edit);
        let report = if matches!(expected, settings::Verdict::Accepted { .. }) {
            let until = time::Instant::now() + self.options.limit;
            let verdict = publish::publish(&mut self.follower, &change, until).await;
            report::Report::new(
                &change,
                verdict.map_err(|err| verdict_unknown(&err, &change))?,
                false,
            )
        } else {
            report::Report::new(&change, expected, true)
        };
        let is_accepted = report.code == codes::Code::Complete;
        self.outcome.changes.push(report);
        Ok(is_accepted)
    }

    fn change(&self, edit: &Edit) -> record::Change {
        let request = publish::ChangeRequest {
            author: self.options.author.clone(),
            id: edit.id.clone(),
            file: edit.file.clone(),
            text: edit.text.clone(),
            base: edit.base,
        };
        request.into()
    }

    /// Waits for the last revision if the options say so, and returns the results.
    ///
    /// Without any change, it waits for the revision in force on the log. A script may repeat
    /// a command whose changes did not come into force everywhere in time, and the repeat must
    /// not succeed before they do.
    pub async fn finish(mut self) -> cli::CliResult<report::Outcome> {
        let awaited_revision = if self.outcome.changes.is_empty() {
            self.state().revision()
        } else {
            self.outcome.revision()
        };
        if let Some(revision) = awaited_revision.filter(|_revision| self.options.wait) {
            let entries = self.options.config.entries()?;
            let until = time::Instant::now() + self.options.limit;
            let not_in_force =
                rollout::wait_for_revision(&self.http, entries, revision, until).await;
            self.outcome.missing = Some(not_in_force);
        }
        Ok(self.outcome)
    }
}

/// Reads the log to its end, with retries while the log is down.
async fn open_follower(
    http: &client::Http,
    log: &SmolStr,
    entries: &[SmolStr],
    until: time::Instant,
) -> Result<follow::Follower, client::ClientError> {
    let mut delays = exchange::backoff();
    loop {
        match follow::Follower::open(http, log, entries).await {
            Ok((follower, _applied)) => return Ok(follower),
            Err(err @ client::ClientError::LogDown(..)) if time::Instant::now() < until => {
                let delay = delays.next().ok_or(err)?;
                rt_time::sleep(delay).await;
            }
            Err(err) => return Err(err),
        }
    }
}

/// Returns the error for a change that may have been accepted although its verdict is unknown.
fn verdict_unknown(err: &client::ClientError, change: &record::Change) -> cli::CliError {
    let id = &change.id;
    let text =
        format!("{err}; the change may have been accepted: it is safe to repeat it with --id {id}");
    cli::CliError::failed(err.code(), text)
}
