//! A small site of separate processes on loopback: the log, workers, entries and
//! runners, as the demo and the failure tests use it.

use std::ffi;
use std::fs;
use std::io::Write as _;
use std::net;
use std::path;

use smol_str::SmolStr;

use crate::processes;

/// Where a process stands.
#[derive(Clone, Debug)]
pub struct Location {
    /// The process's name.
    pub name: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Its rack.
    pub rack: SmolStr,
    /// Where other processes are served; absent: a port from the system.
    pub peer_listen: Option<net::SocketAddr>,
    /// What other processes are told to connect to, if not that.
    pub advertise: Option<net::SocketAddr>,
}

impl Location {
    /// A process in a zone, in a rack of its own.
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

/// What a daemon is started with, beside its place.
#[derive(Clone, Debug)]
pub struct Endpoints {
    /// Where it reaches the log.
    pub log: net::SocketAddr,
    /// Entries that it knows to begin with.
    pub entries: Vec<net::SocketAddr>,
}

/// The programs and the folder that all processes of a site share.
#[derive(Clone, Debug)]
pub struct Site {
    programs: path::PathBuf,
    folder: path::PathBuf,
    log_level: &'static str,
}

/// Size of each stand-in worker: the first user's, in thousandths of a core and MiB.
const WORKER_SIZE: (u32, u32) = (16_000, 32_768);

/// An address of the system's choice.
const ANY_PORT: &str = "127.0.0.1:0";

impl Site {
    /// A site whose programs stand in one folder and whose files go to another.
    pub fn new(programs: &path::Path, folder: &path::Path) -> Self {
        Self {
            programs: programs.to_owned(),
            folder: folder.to_owned(),
            log_level: "info",
        }
    }

    /// The same site, its daemons logging from another level on.
    #[must_use]
    pub const fn logging(mut self, log_level: &'static str) -> Self {
        self.log_level = log_level;
        self
    }

    /// The folder with configuration and logs.
    pub fn folder(&self) -> &path::Path {
        &self.folder
    }

    /// The path of a program.
    pub fn program(&self, name: &str) -> path::PathBuf {
        self.programs.join(name)
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

    /// Starts an entry; other processes reach it at `wait_for_address("peers")`.
    pub fn entry(
        &self,
        place: &Location,
        links: &Endpoints,
    ) -> Result<processes::Process, processes::Error> {
        let mut args = self.daemon_args("entry", place, links);
        args.extend(["--listen".into(), ANY_PORT.into()]);
        self.start("bulrushtillerd", &args, &place.name)
    }

    /// Starts a runner beside a worker; `more` are further arguments.
    pub fn runner(
        &self,
        place: &Location,
        links: &Endpoints,
        backend: net::SocketAddr,
        more: &[&str],
    ) -> Result<processes::Process, processes::Error> {
        let config = self.folder.join(format!("{}.toml", place.name));
        let (cpu_milli, memory_mib) = WORKER_SIZE;
        let mut f = fs::File::create(&config)?;
        writeln!(
            f,
            "[worker]\ncpu_milli = {cpu_milli}\nmemory_mib = {memory_mib}"
        )?;
        let mut args = self.daemon_args("runner", place, links);
        args.extend(["--config".into(), config.into_os_string()]);
        args.extend(["--backend".into(), backend.to_string().into()]);
        args.extend(more.iter().map(ffi::OsString::from));
        self.start("bulrushtillerd", &args, &place.name)
    }

    fn daemon_args(&self, role: &str, place: &Location, links: &Endpoints) -> Vec<ffi::OsString> {
        let log_file = self.folder.join(format!("{}.jsonl", place.name));
        let mut args: Vec<ffi::OsString> = Vec::new();
        let peer_listen = place.peer_listen.map(|address| address.to_string());
        let peer_listen = peer_listen.unwrap_or_else(|| ANY_PORT.to_owned());
        for (flag, value) in [
            ("--role", role),
            ("--name", &place.name),
            ("--zone", &place.zone),
            ("--rack", &place.rack),
            ("--peer-listen", &peer_listen),
            ("--log", &links.log.to_string()),
            ("--log-level", self.log_level),
        ] {
            args.extend([flag.into(), value.into()]);
        }
        if let Some(address) = place.advertise {
            args.extend(["--advertise".into(), address.to_string().into()]);
        }
        args.extend(["--log-file".into(), log_file.into_os_string()]);
        for entry in &links.entries {
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
