//! Site of separate processes on loopback: the log, workers, entries and runners.
//!
//! The demo and the failure tests use it.

use std::ffi;
use std::fs;
use std::io::Write as _;
use std::net;
use std::path;

use smol_str::SmolStr;

use crate::processes;

/// Name, location and addresses of a daemon.
#[derive(Clone, Debug)]
pub struct Location {
    /// Name of the process.
    pub name: SmolStr,
    /// Availability zone of the process.
    pub zone: SmolStr,
    /// Rack of the process.
    pub rack: SmolStr,
    /// Listen address for other processes; `None` for a port chosen by the operating system.
    pub peer_listen: Option<net::SocketAddr>,
    /// Address advertised to other processes; `None` for the listen address.
    pub advertise: Option<net::SocketAddr>,
}

impl Location {
    /// Creates the location of a process in a zone, alone in its rack.
    pub fn new(name: &str, zone: &str) -> Self {
        Self {
            name: name.into(),
            zone: zone.into(),
            rack: name.into(),
            peer_listen: None,
            advertise: None,
        }
    }
}

/// Addresses that a daemon connects to.
#[derive(Clone, Debug)]
pub struct Endpoints {
    /// Address of the log service.
    pub log: net::SocketAddr,
    /// Entries known at the start.
    pub entries: Vec<net::SocketAddr>,
}

/// Folders and log level that all processes of a site share.
#[derive(Clone, Debug)]
pub struct Site {
    program_folder: path::PathBuf,
    folder: path::PathBuf,
    log_level: &'static str,
}

/// Size of each worker, in thousandths of a core and MiB: that of the first user's workers.
const WORKER_SIZE: (u32, u32) = (16_000, 32_768);

/// Loopback address with a port chosen by the operating system.
const ANY_PORT: &str = "127.0.0.1:0";

impl Site {
    /// Creates a site with the folder of its programs and the folder for its files.
    pub fn new(program_folder: &path::Path, folder: &path::Path) -> Self {
        Self {
            program_folder: program_folder.to_owned(),
            folder: folder.to_owned(),
            log_level: "info",
        }
    }

    /// Sets the log level of the daemons; the default is `info`.
    #[must_use]
    pub const fn logging(mut self, log_level: &'static str) -> Self {
        self.log_level = log_level;
        self
    }

    /// Returns the folder with configuration and logs.
    pub fn folder(&self) -> &path::Path {
        &self.folder
    }

    /// Returns the path of a program.
    pub fn program(&self, name: &str) -> path::PathBuf {
        self.program_folder.join(name)
    }

    /// Starts the log service.
    pub fn log(&self, args: &[&str]) -> Result<processes::Process, processes::Error> {
        self.start("standin-log", args, "log")
    }

    /// Starts a worker.
    pub fn worker(
        &self,
        name: &str,
        args: &[&str],
    ) -> Result<processes::Process, processes::Error> {
        self.start("standin-worker", args, name)
    }

    /// Starts an entry; `wait_for_address("peers")` returns its address for other processes.
    pub fn entry(
        &self,
        location: &Location,
        endpoints: &Endpoints,
    ) -> Result<processes::Process, processes::Error> {
        let mut args = self.daemon_args("entry", location, endpoints);
        args.extend(["--listen".into(), ANY_PORT.into()]);
        self.start("bulrushtillerd", &args, &location.name)
    }

    /// Starts the runner of a backend server with additional arguments.
    pub fn runner(
        &self,
        location: &Location,
        endpoints: &Endpoints,
        backend: net::SocketAddr,
        extra_args: &[&str],
    ) -> Result<processes::Process, processes::Error> {
        let config = self.folder.join(format!("{}.toml", location.name));
        let (cpu_milli, memory_mib) = WORKER_SIZE;
        let mut f = fs::File::create(&config)?;
        writeln!(
            f,
            "[worker]\ncpu_milli = {cpu_milli}\nmemory_mib = {memory_mib}"
        )?;
        let mut args = self.daemon_args("runner", location, endpoints);
        args.extend(["--config".into(), config.into_os_string()]);
        args.extend(["--backend".into(), backend.to_string().into()]);
        args.extend(extra_args.iter().map(ffi::OsString::from));
        self.start("bulrushtillerd", &args, &location.name)
    }

    fn daemon_args(
        &self,
        role: &str,
        location: &Location,
        endpoints: &Endpoints,
    ) -> Vec<ffi::OsString> {
        let log_file = self.folder.join(format!("{}.jsonl", location.name));
        let mut args: Vec<ffi::OsString> = Vec::new();
        let peer_listen = location.peer_listen.map(|address| address.to_string());
        let peer_listen = peer_listen.unwrap_or_else(|| ANY_PORT.to_owned());
        for (flag, value) in [
            ("--role", role),
            ("--name", &location.name),
            ("--zone", &location.zone),
            ("--rack", &location.rack),
            ("--peer-listen", &peer_listen),
            ("--log", &endpoints.log.to_string()),
            ("--log-level", self.log_level),
        ] {
            args.extend([flag.into(), value.into()]);
        }
        if let Some(address) = location.advertise {
            args.extend(["--advertise".into(), address.to_string().into()]);
        }
        args.extend(["--log-file".into(), log_file.into_os_string()]);
        for entry in &endpoints.entries {
            args.extend(["--entry".into(), entry.to_string().into()]);
        }
        args
    }

    fn start<S: AsRef<ffi::OsStr>>(
        &self,
        program: &str,
        args: &[S],
        name: &str,
    ) -> Result<processes::Process, processes::Error> {
        processes::Process::start(&self.program(program), args, name, &self.folder)
    }
}
