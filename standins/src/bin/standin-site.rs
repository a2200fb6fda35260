//! Runs a command against a site of separate processes, for trials and measurements.

use std::env;
use std::error;
use std::ffi;
use std::fs;
use std::io::Write as _;
use std::path;
use std::process;
use std::thread;
use std::time;

use bulrushtiller_standins::processes;
use bulrushtiller_standins::site;

const USAGE: &str = "\
Runs a command against a site of separate processes on loopback: the log service,
entries, runners, and a worker for each runner.

Usage: standin-site [options] -- COMMAND [ARGS]

The command finds the site by BULRUSHTILLER_ENTRIES, BULRUSHTILLER_LOG,
BULRUSHTILLER_TOKEN, SITE_FOLDER (the processes' logs), SITE_LOG, SITE_PEERS,
SITE_RUNNERS and SITE_WORKERS. The programs are taken from the folder of this program. The
exit status is that of the command.

  --entries N        default 3
  --runners N        of 8 slots each; default 11
  --zones A,B,...    default caxias,bento,vacaria,cambara; assigned in turn
  --settings FOLDER  published with an additional file for the team 'trial'
";

/// Bearer token of the team `trial`, which every site has.
const TOKEN: &str = "trial-token";

/// Maximum time until all processes know each other and the settings.
const START_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Interval between two checks of the processes.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Maximum time for a daemon's graceful stop.
const STOP_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// Exit status for an invalid command line.
const USAGE_STATUS: u8 = 2;

type BoxResult<T> = Result<T, Box<dyn error::Error>>;

struct Options {
    entries: usize,
    runners: usize,
    zones: Vec<String>,
    settings: Option<path::PathBuf>,
    command: Vec<ffi::OsString>,
}

impl Options {
    fn parse(argv: Vec<ffi::OsString>) -> BoxResult<Self> {
        let mut rest = argv.into_iter();
        let before: Vec<_> = rest.by_ref().take_while(|arg| arg != "--").collect();
        let mut args = pico_args::Arguments::from_vec(before);
        let zones: Option<String> = args.opt_value_from_str("--zones")?;
        let zones = zones.unwrap_or_else(|| "caxias,bento,vacaria,cambara".to_owned());
        let options = Self {
            entries: args.opt_value_from_str("--entries")?.unwrap_or(3),
            runners: args.opt_value_from_str("--runners")?.unwrap_or(11),
            zones: zones.split(',').map(str::to_owned).collect(),
            settings: args.opt_value_from_str("--settings")?,
            command: rest.collect(),
        };
        if let Some(extra) = args.finish().first() {
            return Err(format!("unexpected argument '{}'", extra.display()).into());
        }
        if options.command.is_empty() || options.entries == 0 {
            return Err("a command and at least one entry are required".into());
        }
        Ok(options)
    }
}

struct RunningSite {
    site: site::Site,
    log: processes::Process,
    entries: Vec<processes::Process>,
    runners: Vec<processes::Process>,
    workers: Vec<processes::Process>,
}

fn main() -> process::ExitCode {
    let argv: Vec<_> = env::args_os().skip(1).collect();
    if argv
        .first()
        .is_some_and(|arg| arg == "--help" || arg == "-h")
    {
        print!("{USAGE}");
        return process::ExitCode::SUCCESS;
    }
    let options = match Options::parse(argv) {
        Ok(options) => options,
        Err(e) => {
            eprint!("{e}\n\n{USAGE}");
            return process::ExitCode::from(USAGE_STATUS);
        }
    };
    match run(&options) {
        Ok(status) => status,
        Err(e) => {
            eprintln!("standin-site: {e}");
            process::ExitCode::FAILURE
        }
    }
}

fn run(options: &Options) -> BoxResult<process::ExitCode> {
    let programs = env::current_exe()?;
    let programs = programs
        .parent()
        .ok_or("the path of this program has no parent folder")?;
    let folder = env::temp_dir().join(format!("bulrushtiller-site-{}", process::id()));
    fs::create_dir_all(&folder)?;
    let mut running = start(options, site::Site::new(programs, &folder))?;
    running.publish(options.settings.as_deref())?;
    running.wait_until_serving()?;
    let (program, args) = options
        .command
        .split_first()
        .ok_or("a command is required")?;
    let status = running.command(program).args(args).status()?;
    running.stop()?;
    fs::remove_dir_all(&folder)?;
    let code = status.code().and_then(|code| u8::try_from(code).ok());
    Ok(code.map_or(process::ExitCode::FAILURE, process::ExitCode::from))
}

fn start(options: &Options, site: site::Site) -> BoxResult<RunningSite> {
    let log = site.log(&[])?;
    let mut endpoints = site::Endpoints {
        log: log.address(),
        entries: Vec::new(),
    };
    let zones = options.zones.iter().cycle();
    let mut entries = Vec::new();
    for (at, zone) in (1..=options.entries).zip(zones.clone()) {
        let entry = site.entry(
            &site::Location::new(&format!("entry-{at}"), zone),
            &endpoints,
        )?;
        endpoints.entries.push(entry.wait_for_address("peers")?);
        entries.push(entry);
    }
    let mut runners = Vec::new();
    let mut workers = Vec::new();
    for (at, zone) in (1..=options.runners).zip(zones) {
        let worker = site.worker(&format!("worker-{at}"), &[])?;
        let location = site::Location::new(&format!("runner-{at}"), zone);
        runners.push(site.runner(&location, &endpoints, worker.address(), &[])?);
        workers.push(worker);
    }
    Ok(RunningSite {
        site,
        log,
        entries,
        runners,
        workers,
    })
}

fn addresses(processes: &[processes::Process]) -> String {
    let all = processes.iter().map(|child| child.address().to_string());
    all.collect::<Vec<_>>().join(",")
}

impl RunningSite {
    /// Creates a command with the site's addresses in its environment and the site's programs
    /// first in `PATH`.
    fn command(&self, program: &ffi::OsStr) -> process::Command {
        let program_folder = self.site.program("");
        let path = env::var_os("PATH").unwrap_or_default();
        let path = env::join_paths(std::iter::once(program_folder).chain(env::split_paths(&path)));
        let mut command = process::Command::new(program);
        if let Ok(path) = path {
            command.env("PATH", path);
        }
        let peers: Vec<_> = self
            .entries
            .iter()
            .filter_map(|entry| entry.wait_for_address("peers").ok())
            .map(|address| address.to_string())
            .collect();
        command
            .env("BULRUSHTILLER_ENTRIES", addresses(&self.entries))
            .env("BULRUSHTILLER_LOG", self.log.address().to_string())
            .env("BULRUSHTILLER_TOKEN", TOKEN)
            .env("SITE_FOLDER", self.site.folder())
            .env("SITE_LOG", self.log.address().to_string())
            .env("SITE_PEERS", peers.join(","))
            .env("SITE_RUNNERS", addresses(&self.runners))
            .env("SITE_WORKERS", addresses(&self.workers));
        command
    }

    /// Runs the command-line tool and returns its output.
    fn tool(&self, args: &[&str]) -> BoxResult<String> {
        let program = self.site.program("bulrushtiller");
        let output = self.command(program.as_os_str()).args(args).output()?;
        if output.status.success() {
            return Ok(String::from_utf8(output.stdout)?);
        }
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
        Err(format!("'{}': {stdout}{stderr}", args.join(" ")).into())
    }

    fn publish(&self, settings: Option<&path::Path>) -> BoxResult<()> {
        let folder = self.site.folder().join("settings");
        fs::create_dir_all(&folder)?;
        if let Some(settings) = settings {
            for file in fs::read_dir(settings)? {
                let file = file?;
                fs::copy(file.path(), folder.join(file.file_name()))?;
            }
        }
        let hash = self.tool(&["token", "hash", TOKEN])?;
        let mut f = fs::File::create(folder.join("95-trial.toml"))?;
        writeln!(f, "[teams.trial]\ntoken_sha256 = [\"{}\"]", hash.trim())?;
        let path = folder
            .to_str()
            .ok_or("the path of the temporary folder is not valid UTF-8")?;
        self.tool(&["config", "sync", path, "--wait", "--author", "trial"])?;
        Ok(())
    }

    /// Waits until the status reports every entry and every runner as fresh.
    fn wait_until_serving(&self) -> BoxResult<()> {
        let until = time::Instant::now() + START_TIMEOUT;
        let expected = self.entries.len() + self.runners.len();
        loop {
            let text = self.tool(&["status", "--json"])?;
            let processes: Vec<serde_json::Value> = serde_json::from_str(&text)?;
            let ready = processes.iter().filter(|row| row["fresh"] == true);
            if ready.count() >= expected {
                return Ok(());
            }
            if time::Instant::now() > until {
                return Err(
                    format!("not all processes serve within the start timeout: {text}").into(),
                );
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Stops the daemons with SIGTERM and waits for their exit, entries last.
    fn stop(&mut self) -> BoxResult<()> {
        for daemon in self.runners.iter_mut().chain(&mut self.entries) {
            daemon.terminate()?;
        }
        for daemon in self.runners.iter_mut().chain(&mut self.entries) {
            if daemon.wait_exit(STOP_TIMEOUT)?.is_none() {
                return Err(format!("{} did not stop within the time limit", daemon.name()).into());
            }
        }
        // The workers have nothing to finish and are killed.
        self.workers.clear();
        Ok(())
    }
}
