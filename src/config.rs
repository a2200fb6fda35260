//! Start-up configuration of a daemon: a TOML file, overridden by the command line.

use std::fs;
use std::net;
use std::path;

use serde::Deserialize;
use smol_str::SmolStr;

use crate::ids;
use crate::wire;

quick_error! {
    /// Error in the configuration.
    #[derive(Debug)]
    pub enum ConfigError {
        /// The file cannot be read.
        Read(path: path::PathBuf, err: std::io::Error) {
            display("{}: {err}", path.display())
            source(err)
        }
        /// The file is not a valid configuration.
        Parse(path: path::PathBuf, err: Box<toml::de::Error>) {
            display("{}: {err}", path.display())
            source(err)
        }
        /// The command line is invalid.
        Arguments(err: pico_args::Error) {
            from()
            display("{err}")
            source(err)
        }
        /// The value of an argument is invalid.
        Value(name: &'static str, err: pico_args::Error) {
            display("{name}: {err}")
            source(err)
        }
        /// An argument is unknown.
        Unknown(argument: String) {
            display("unknown argument '{argument}'")
        }
        /// A required value is missing.
        Missing(key: &'static str) {
            display("'{key}' is required")
        }
        /// A value is invalid.
        Impossible(key: &'static str, why: String) {
            display("'{key}': {why}")
        }
    }
}

/// The file before validation; any key may instead be given on the command line.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawConfig {
    /// `entry` or `runner`.
    pub role: Option<wire::Role>,
    /// Name of the process.
    pub name: Option<SmolStr>,
    /// Its availability zone.
    pub zone: Option<SmolStr>,
    /// Its rack.
    pub rack: Option<SmolStr>,
    /// Listen address for callers and operators, `IP:PORT`; entries only.
    pub listen: Option<net::SocketAddr>,
    /// Listen address for other processes, `IP:PORT`.
    pub peer_listen: Option<net::SocketAddr>,
    /// Address advertised to other processes, if it differs from `peer_listen`.
    pub advertise: Option<net::SocketAddr>,
    /// Address of the log service.
    pub log: Option<net::SocketAddr>,
    /// Peer addresses of the entries to contact first.
    #[serde(default)]
    pub entries: Vec<net::SocketAddr>,
    /// Address of the backend server; runners only.
    pub backend: Option<net::SocketAddr>,
    /// Number of tasks that the backend server runs at once.
    pub slots: Option<u32>,
    /// Maximum number of connections that a runner serves at once.
    pub connections: Option<u32>,
    /// Resources of the worker.
    pub worker: Option<RawWorker>,
    /// File for the JSON log lines; `None` writes to the standard error.
    pub log_file: Option<path::PathBuf>,
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub log_level: Option<log::LevelFilter>,
    /// Number of HTTP threads.
    pub threads: Option<usize>,
}

/// Resources of a worker as written in the file.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawWorker {
    /// CPU in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory in mebibytes.
    pub memory_mib: u32,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

/// Validated configuration of either role.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the process.
    pub name: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Its rack.
    pub rack: SmolStr,
    /// Listen address for other processes.
    pub peer_listen: net::SocketAddr,
    /// Address advertised to other processes, if it differs from `peer_listen`.
    pub advertise: Option<net::SocketAddr>,
    /// Address of the log service.
    pub log: net::SocketAddr,
    /// Peer addresses of the entries to contact first.
    pub entries: Vec<SmolStr>,
    /// File for the JSON log lines; `None` writes to the standard error.
    pub log_file: Option<path::PathBuf>,
    /// Most detailed level that is logged.
    pub log_level: log::LevelFilter,
    /// Number of HTTP threads.
    pub threads: usize,
    /// Role-specific configuration.
    pub role: RoleConfig,
}

/// Role-specific configuration.
#[derive(Clone, Debug)]
pub enum RoleConfig {
    /// An entry.
    Entry {
        /// Listen address for callers and operators.
        listen: net::SocketAddr,
    },
    /// A runner.
    Runner {
        /// Address of the backend server.
        backend: SmolStr,
        /// Number of tasks that the backend server runs at once.
        slots: u32,
        /// Maximum number of connections served at once.
        connections: u32,
        /// Resources of the worker.
        worker: wire::Resources,
    },
}

/// Default number of slots of a backend server.
pub const DEFAULT_SLOTS: u32 = 8;
/// Default number of connections of a backend server.
pub const DEFAULT_CONNECTIONS: u32 = 64;
/// Default number of HTTP threads; a daemon has only a few percent of a core.
const DEFAULT_THREADS: usize = 2;

impl RawConfig {
    /// Reads the file given by `--config`, then applies the other arguments over it.
    pub fn from_args(mut args: pico_args::Arguments) -> Result<Self, ConfigError> {
        let path: Option<path::PathBuf> = args.opt_value_from_str("--config")?;
        let mut raw = match path {
            Some(path) => Self::read(path)?,
            None => Self::default(),
        };
        raw.override_with(&mut args)?;
        match args.finish().first() {
            Some(rest) => Err(ConfigError::Unknown(rest.to_string_lossy().into_owned())),
            None => Ok(raw),
        }
    }

    fn read(path: path::PathBuf) -> Result<Self, ConfigError> {
        let text = match fs::read_to_string(&path) {
            Ok(text) => text,
            Err(e) => return Err(ConfigError::Read(path, e)),
        };
        toml::from_str(&text).map_err(|e| ConfigError::Parse(path, Box::new(e)))
    }

    fn override_with(&mut self, args: &mut pico_args::Arguments) -> Result<(), ConfigError> {
        let role: Option<SmolStr> = args.opt_value_from_str("--role")?;
        if let Some(role) = role {
            self.role = Some(parse_role(&role)?);
        }
        override_value(args, "--name", &mut self.name)?;
        override_value(args, "--zone", &mut self.zone)?;
        override_value(args, "--rack", &mut self.rack)?;
        override_value(args, "--listen", &mut self.listen)?;
        override_value(args, "--peer-listen", &mut self.peer_listen)?;
        override_value(args, "--advertise", &mut self.advertise)?;
        override_value(args, "--log", &mut self.log)?;
        override_value(args, "--backend", &mut self.backend)?;
        override_value(args, "--slots", &mut self.slots)?;
        override_value(args, "--connections", &mut self.connections)?;
        override_value(args, "--log-file", &mut self.log_file)?;
        override_value(args, "--log-level", &mut self.log_level)?;
        override_value(args, "--threads", &mut self.threads)?;
        let entries: Vec<net::SocketAddr> = args.values_from_str("--entry")?;
        if !entries.is_empty() {
            self.entries = entries;
        }
        Ok(())
    }
}

fn override_value<T: std::str::FromStr>(
    args: &mut pico_args::Arguments,
    name: &'static str,
    field: &mut Option<T>,
) -> Result<(), ConfigError>
where
    T::Err: std::fmt::Display,
{
    let parsed = args.opt_value_from_str(name);
    let parsed = parsed.map_err(|err| ConfigError::Value(name, err))?;
    if let Some(value) = parsed {
        *field = Some(value);
    }
    Ok(())
}

fn parse_role(text: &str) -> Result<wire::Role, ConfigError> {
    match text {
        "entry" => Ok(wire::Role::Entry),
        "runner" => Ok(wire::Role::Runner),
        _ => Err(ConfigError::Impossible(
            "role",
            format!("unknown role '{text}'; expected 'entry' or 'runner'"),
        )),
    }
}

impl TryFrom<RawConfig> for Config {
    type Error = ConfigError;

    fn try_from(raw: RawConfig) -> Result<Self, ConfigError> {
        let role = raw.role.ok_or(ConfigError::Missing("role"))?;
        let role = match role {
            wire::Role::Entry => RoleConfig::Entry {
                listen: require("listen", raw.listen)?,
            },
            wire::Role::Runner => runner_config(&raw)?,
        };
        Ok(Self {
            name: name("name", raw.name)?,
            zone: name("zone", raw.zone)?,
            rack: name("rack", raw.rack)?,
            peer_listen: require("peer_listen", raw.peer_listen)?,
            advertise: raw.advertise,
            log: require("log", raw.log)?,
            entries: raw
                .entries
                .iter()
                .map(|address| smol_str::format_smolstr!("{address}"))
                .collect(),
            log_file: raw.log_file,
            log_level: raw.log_level.unwrap_or(log::LevelFilter::Info),
            threads: raw.threads.unwrap_or(DEFAULT_THREADS).max(1),
            role,
        })
    }
}

fn runner_config(raw: &RawConfig) -> Result<RoleConfig, ConfigError> {
    let worker = require("worker", raw.worker)?;
    let slots = raw.slots.unwrap_or(DEFAULT_SLOTS);
    if slots == 0 {
        return Err(ConfigError::Impossible(
            "slots",
            "must be at least 1".to_owned(),
        ));
    }
    Ok(RoleConfig::Runner {
        backend: smol_str::format_smolstr!("{}", require("backend", raw.backend)?),
        slots,
        connections: raw.connections.unwrap_or(DEFAULT_CONNECTIONS),
        worker: wire::Resources {
            cpu_milli: worker.cpu_milli,
            memory_mib: worker.memory_mib,
            accelerators: worker.accelerators,
        },
    })
}

fn require<T>(key: &'static str, value: Option<T>) -> Result<T, ConfigError> {
    value.ok_or(ConfigError::Missing(key))
}

fn name(key: &'static str, value: Option<SmolStr>) -> Result<SmolStr, ConfigError> {
    let text = require(key, value)?;
    ids::check_name(&text).map_err(|e| ConfigError::Impossible(key, e.to_string()))
}
