//! What a daemon is told at its start: a TOML file, and the command line over it.

use std::fs;
use std::net;
use std::path;

use serde::Deserialize;
use smol_str::SmolStr;

use crate::ids;
use crate::wire;

quick_error! {
    /// Why a daemon can't start.
    #[derive(Debug)]
    pub enum ConfigError {
        /// The file can't be read.
        Read(path: path::PathBuf, err: std::io::Error) {
            display("{}: {err}", path.display())
            source(err)
        }
        /// The file is not what it should be.
        Parse(path: path::PathBuf, err: Box<toml::de::Error>) {
            display("{}: {err}", path.display())
            source(err)
        }
        /// The command line is wrong.
        Arguments(err: pico_args::Error) {
            from()
            display("{err}")
            source(err)
        }
        /// The value of an argument is wrong.
        Value(name: &'static str, err: pico_args::Error) {
            display("{name}: {err}")
            source(err)
        }
        /// An argument that nobody asked for.
        Unknown(argument: String) {
            display("unknown argument '{argument}'")
        }
        /// A value is needed and missing.
        Missing(key: &'static str) {
            display("'{key}' is needed")
        }
        /// A value is impossible.
        Impossible(key: &'static str, why: String) {
            display("'{key}': {why}")
        }
    }
}

/// The file as written; all keys may be left out and given on the command line.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawConfig {
    /// `entry` or `runner`.
    pub role: Option<wire::Role>,
    /// The process's name.
    pub name: Option<SmolStr>,
    /// Its availability zone.
    pub zone: Option<SmolStr>,
    /// Its rack.
    pub rack: Option<SmolStr>,
    /// Where callers and operators are served, `IP:PORT`; an entry's only.
    pub listen: Option<net::SocketAddr>,
    /// Where other processes are served, `IP:PORT`.
    pub peer_listen: Option<net::SocketAddr>,
    /// What other processes are told to connect to, if not the above.
    pub advertise: Option<net::SocketAddr>,
    /// The log service's address.
    pub log: Option<net::SocketAddr>,
    /// Addresses of entries for other processes, to begin with.
    #[serde(default)]
    pub entries: Vec<net::SocketAddr>,
    /// The backend server's address; a runner's only.
    pub backend: Option<net::SocketAddr>,
    /// Tasks that the backend server runs at once.
    pub slots: Option<u32>,
    /// Most connections that a runner serves at once.
    pub connections: Option<u32>,
    /// Size of the worker.
    pub worker: Option<RawWorker>,
    /// Where the JSON lines go; the standard error if absent.
    pub log_file: Option<path::PathBuf>,
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub log_level: Option<log::LevelFilter>,
    /// Threads for traffic.
    pub threads: Option<usize>,
}

/// Size of a worker as written.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawWorker {
    /// Thousandths of a core.
    pub cpu_milli: u32,
    /// Mebibytes.
    pub memory_mib: u32,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

/// What both roles need, checked.
#[derive(Clone, Debug)]
pub struct Config {
    /// The process's name.
    pub name: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Its rack.
    pub rack: SmolStr,
    /// Where other processes are served.
    pub peer_listen: net::SocketAddr,
    /// What they are told, if not that.
    pub advertise: Option<net::SocketAddr>,
    /// The log service.
    pub log: net::SocketAddr,
    /// Entries to begin with.
    pub entries: Vec<SmolStr>,
    /// Where the JSON lines go.
    pub log_file: Option<path::PathBuf>,
    /// From which level on.
    pub log_level: log::LevelFilter,
    /// Threads for traffic.
    pub threads: usize,
    /// What the role alone needs.
    pub role: RoleConfig,
}

/// What one role alone needs.
#[derive(Clone, Debug)]
pub enum RoleConfig {
    /// An entry.
    Entry {
        /// Where callers and operators are served.
        listen: net::SocketAddr,
    },
    /// A runner.
    Runner {
        /// The backend server.
        backend: SmolStr,
        /// Tasks at once.
        slots: u32,
        /// Connections at once.
        connections: u32,
        /// Size of the worker.
        worker: wire::Resources,
    },
}

/// Slots of a backend server, from the brief's sizes.
pub const DEFAULT_SLOTS: u32 = 8;
/// Connections of a backend server, from the brief's sizes.
pub const DEFAULT_CONNECTIONS: u32 = 64;
/// Threads for traffic; a daemon has a few percent of a core to itself.
const DEFAULT_THREADS: usize = 2;

impl RawConfig {
    /// Reads the file named by `--config`, then lays the other arguments over it.
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
        take(args, "--name", &mut self.name)?;
        take(args, "--zone", &mut self.zone)?;
        take(args, "--rack", &mut self.rack)?;
        take(args, "--listen", &mut self.listen)?;
        take(args, "--peer-listen", &mut self.peer_listen)?;
        take(args, "--advertise", &mut self.advertise)?;
        take(args, "--log", &mut self.log)?;
        take(args, "--backend", &mut self.backend)?;
        take(args, "--slots", &mut self.slots)?;
        take(args, "--connections", &mut self.connections)?;
        take(args, "--log-file", &mut self.log_file)?;
        take(args, "--log-level", &mut self.log_level)?;
        take(args, "--threads", &mut self.threads)?;
        let entries: Vec<net::SocketAddr> = args.values_from_str("--entry")?;
        if !entries.is_empty() {
            self.entries = entries;
        }
        Ok(())
    }
}

fn take<T: std::str::FromStr>(
    args: &mut pico_args::Arguments,
    name: &'static str,
    slot: &mut Option<T>,
) -> Result<(), ConfigError>
where
    T::Err: std::fmt::Display,
{
    let given = args.opt_value_from_str(name);
    let given = given.map_err(|err| ConfigError::Value(name, err))?;
    if let Some(value) = given {
        *slot = Some(value);
    }
    Ok(())
}

fn parse_role(text: &str) -> Result<wire::Role, ConfigError> {
    match text {
        "entry" => Ok(wire::Role::Entry),
        "runner" => Ok(wire::Role::Runner),
        _ => Err(ConfigError::Impossible(
            "role",
            format!("'{text}' is no role"),
        )),
    }
}

impl TryFrom<RawConfig> for Config {
    type Error = ConfigError;

    fn try_from(raw: RawConfig) -> Result<Self, ConfigError> {
        let role = raw.role.ok_or(ConfigError::Missing("role"))?;
        let role = match role {
            wire::Role::Entry => RoleConfig::Entry {
                listen: need("listen", raw.listen)?,
            },
            wire::Role::Runner => runner_config(&raw)?,
        };
        Ok(Self {
            name: name("name", raw.name)?,
            zone: name("zone", raw.zone)?,
            rack: name("rack", raw.rack)?,
            peer_listen: need("peer_listen", raw.peer_listen)?,
            advertise: raw.advertise,
            log: need("log", raw.log)?,
            entries: raw
                .entries
                .iter()
                .map(|one| smol_str::format_smolstr!("{one}"))
                .collect(),
            log_file: raw.log_file,
            log_level: raw.log_level.unwrap_or(log::LevelFilter::Info),
            threads: raw.threads.unwrap_or(DEFAULT_THREADS).max(1),
            role,
        })
    }
}

fn runner_config(raw: &RawConfig) -> Result<RoleConfig, ConfigError> {
    let worker = need("worker", raw.worker)?;
    let slots = raw.slots.unwrap_or(DEFAULT_SLOTS);
    if slots == 0 {
        return Err(ConfigError::Impossible("slots", "at least 1".to_owned()));
    }
    Ok(RoleConfig::Runner {
        backend: smol_str::format_smolstr!("{}", need("backend", raw.backend)?),
        slots,
        connections: raw.connections.unwrap_or(DEFAULT_CONNECTIONS),
        worker: wire::Resources {
            cpu_milli: worker.cpu_milli,
            memory_mib: worker.memory_mib,
            accelerators: worker.accelerators,
        },
    })
}

fn need<T>(key: &'static str, value: Option<T>) -> Result<T, ConfigError> {
    value.ok_or(ConfigError::Missing(key))
}

fn name(key: &'static str, value: Option<SmolStr>) -> Result<SmolStr, ConfigError> {
    let text = need(key, value)?;
    ids::check_name(&text).map_err(|e| ConfigError::Impossible(key, e.to_string()))
}
