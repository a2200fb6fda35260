//! Configuration of the tool: addresses of the entries and the log, and the team's token.
//!
//! Flags take precedence over the environment, and that over the TOML file of `--config`.

use std::env;
use std::fs;
use std::path;

use serde::Deserialize;
use smol_str::SmolStr;

use crate::cli;
use crate::cli::flags;
use crate::client;
use crate::client::entries;
use crate::client::follow;

/// Environment variable with the entries, separated by commas.
pub const ENTRIES_VAR: &str = "BULRUSHTILLER_ENTRIES";
/// Environment variable with the team's bearer token.
pub const TOKEN_VAR: &str = "BULRUSHTILLER_TOKEN";
/// Environment variable with the address of the log service.
pub const LOG_VAR: &str = "BULRUSHTILLER_LOG";

/// Validated configuration of the tool.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Config {
    entries: Vec<SmolStr>,
    token: Option<SmolStr>,
    log: Option<SmolStr>,
}

/// Configuration as given by one source, not validated.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawConfig {
    /// Addresses of entries, each `HOST:PORT`.
    #[serde(default)]
    pub entries: Vec<SmolStr>,
    /// Bearer token of the team.
    pub token: Option<SmolStr>,
    /// Address of the log service, `HOST:PORT`.
    pub log: Option<SmolStr>,
}

impl RawConfig {
    /// Reads the flags.
    fn from_flags(args: &mut pico_args::Arguments) -> cli::CliResult<Self> {
        let lists: Vec<String> = args.values_from_str("--entries")?;
        Ok(Self {
            entries: lists.iter().flat_map(|list| split_list(list)).collect(),
            token: flags::value(args, "--token")?,
            log: flags::value(args, "--log")?,
        })
    }

    /// Reads the environment; empty variables count as unset.
    fn from_env() -> Self {
        let var = |name| env::var(name).ok().filter(|value| !value.is_empty());
        Self {
            entries: var(ENTRIES_VAR).map_or_else(Vec::new, |list| split_list(&list)),
            token: var(TOKEN_VAR).map(SmolStr::from),
            log: var(LOG_VAR).map(SmolStr::from),
        }
    }

    /// Reads the file.
    fn from_file(path: &path::Path) -> cli::CliResult<Self> {
        let shown = path.display();
        let text =
            fs::read_to_string(path).map_err(|err| cli::CliError::Io(shown.to_string(), err))?;
        toml::from_str(&text).map_err(|err| cli::CliError::Usage(format!("{shown}: {err}")))
    }

    /// Fills in missing values from a source of lower precedence.
    fn or(self, other: Self) -> Self {
        Self {
            entries: if self.entries.is_empty() {
                other.entries
            } else {
                self.entries
            },
            token: self.token.or(other.token),
            log: self.log.or(other.log),
        }
    }
}

impl TryFrom<RawConfig> for Config {
    type Error = cli::CliError;

    fn try_from(raw: RawConfig) -> cli::CliResult<Self> {
        for address in raw.entries.iter().chain(&raw.log) {
            flags::check_address(address)?;
        }
        if raw.token.as_ref().is_some_and(|token| !is_token(token)) {
            let text = "a token consists of visible ASCII characters without spaces";
            return Err(cli::CliError::Usage(text.to_owned()));
        }
        Ok(Self {
            entries: raw.entries,
            token: raw.token,
            log: raw.log,
        })
    }
}

impl Config {
    /// Takes the common flags from the command line and reads the other sources.
    pub fn from_args(args: &mut pico_args::Arguments) -> cli::CliResult<Self> {
        let path: Option<path::PathBuf> = flags::value(args, "--config")?;
        let given = RawConfig::from_flags(args)?.or(RawConfig::from_env());
        let file = match path {
            Some(path) => RawConfig::from_file(&path)?,
            None => RawConfig::default(),
        };
        Self::try_from(given.or(file))
    }

    /// Returns the addresses of the entries; fails if there are none.
    pub fn entries(&self) -> cli::CliResult<&[SmolStr]> {
        if self.entries.is_empty() {
            return Err(missing("an entry", "--entries", ENTRIES_VAR));
        }
        Ok(&self.entries)
    }

    /// Returns the bearer token of the team; fails if there is none.
    pub fn token(&self) -> cli::CliResult<&SmolStr> {
        let token = self.token.as_ref();
        token.ok_or_else(|| missing("a token", "--token", TOKEN_VAR))
    }

    /// Creates a client of the entries with the team's token; needs a running actix system.
    pub fn open_entries(&self) -> cli::CliResult<entries::Entries> {
        let token = self.token()?;
        let addresses = self.entries()?;
        Ok(entries::Entries::new(
            client::Http::open(),
            addresses,
            token,
        ))
    }

    /// Returns the address of the log service; fails if there is none.
    pub fn log(&self) -> cli::CliResult<&SmolStr> {
        let log = self.log.as_ref();
        log.ok_or_else(|| missing("the log's address", "--log", LOG_VAR))
    }

    /// Returns the sources of the settings in force; fails if there are none.
    pub fn sources(&self) -> cli::CliResult<follow::Sources<'_>> {
        if self.log.is_none() && self.entries.is_empty() {
            return Err(missing(
                "the log's address or an entry",
                "--log, --entries",
                LOG_VAR,
            ));
        }
        Ok(follow::Sources {
            log: self.log.as_ref(),
            entries: &self.entries,
        })
    }

    /// Returns the addresses of the entries, for commands that also work without any.
    pub fn entries_or_empty(&self) -> &[SmolStr] {
        &self.entries
    }
}

fn split_list(list: &str) -> Vec<SmolStr> {
    let parts = list.split(',').map(str::trim);
    parts
        .filter(|part| !part.is_empty())
        .map(SmolStr::new)
        .collect()
}

fn is_token(token: &str) -> bool {
    !token.is_empty() && token.bytes().all(|b| b.is_ascii_graphic())
}

fn missing(what: &str, flag: &str, var: &str) -> cli::CliError {
    cli::CliError::Usage(format!(
        "{what} is required: set {flag}, {var} or the --config file"
    ))
}
