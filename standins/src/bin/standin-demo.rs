//! Demo of a whole site on one machine, as separate processes; `./demo` builds and runs it.

use std::error;
use std::fs;
use std::path;
use std::process;
use std::thread;
use std::time;

use bulrushtiller_standins::processes;
use bulrushtiller_standins::site;
use bulrushtiller_standins::worker;

type BoxResult<T> = Result<T, Box<dyn error::Error>>;

/// Maximum time for a daemon's graceful stop.
const STOP_LIMIT: time::Duration = time::Duration::from_secs(30);

/// Bearer token of the demo's team.
const TOKEN: &str = "taipa-example-token";

const LIMITS: &str = "[limits]\nmax_job_tasks = 280\n";

struct Demo {
    site: site::Site,
    log: processes::Process,
    entries: Vec<processes::Process>,
    runners: Vec<processes::Process>,
    workers: Vec<processes::Process>,
}

fn main() -> process::ExitCode {
    match run() {
        Ok(()) => {
            println!("demo: all steps succeeded");
            process::ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("demo: {e}");
            process::ExitCode::FAILURE
        }
    }
}

fn run() -> BoxResult<()> {
    let program_folder = std::env::current_exe()?;
    let program_folder = program_folder
        .parent()
        .ok_or("the path of this program has no parent folder")?
        .to_owned();
    let folder = std::env::temp_dir().join(format!("bulrushtiller-demo-{}", process::id()));
    fs::create_dir_all(&folder)?;
    let mut demo = start(site::Site::new(&program_folder, &folder))?;
    demo.run_scenario()?;
    demo.stop()?;
    fs::remove_dir_all(&folder)?;
    Ok(())
}

fn start(site: site::Site) -> BoxResult<Demo> {
    let log = site.log(&[])?;
    println!("demo: log service at {}", log.address());
    let mut endpoints = site::Endpoints {
        log: log.address(),
        entries: Vec::new(),
    };
    let mut entries = Vec::new();
    for (name, zone) in [("entry-1", "caxias"), ("entry-2", "bento")] {
        let entry = site.entry(&site::Location::new(name, zone), &endpoints)?;
        println!("demo: {name} in {zone} at {}", entry.address());
        endpoints.entries.push(entry.wait_for_address("peers")?);
        entries.push(entry);
    }
    let mut runners = Vec::new();
    let mut workers = Vec::new();
    for (name, zone) in [
        ("runner-1", "caxias"),
        ("runner-2", "caxias"),
        ("runner-3", "bento"),
    ] {
        let worker = site.worker(&format!("worker-of-{name}"), &[])?;
        let location = site::Location::new(name, zone);
        let runner = site.runner(&location, &endpoints, worker.address(), &[])?;
        println!("demo: {name} in {zone} at {}", runner.address());
        workers.push(worker);
        runners.push(runner);
    }
    Ok(Demo {
        site,
        log,
        entries,
        runners,
        workers,
    })
}

impl Demo {
    fn run_scenario(&self) -> BoxResult<()> {
        self.publish()?;
        self.submit("job before", &["--tasks", "6"])?;
        self.submit("non-idempotent request", &["--request"])?;
        let before = self.starts_in_caxias()?;
        if before == 0 {
            return Err("no task started in caxias while the zone was in service".into());
        }
        self.tool(&["zone", "out", "caxias", "--author", "demo"])?;
        let while_out = self.starts_in_caxias()?;
        self.submit("job with caxias out", &["--tasks", "12"])?;
        let after = self.starts_in_caxias()?;
        println!(
            "demo: starts in caxias: {before} before, {while_out} when out, {after} after the job"
        );
        if after != while_out {
            return Err("a task started in caxias while the zone was out of service".into());
        }
        self.tool(&["status"])?;
        Ok(())
    }

    fn publish(&self) -> BoxResult<()> {
        let folder = self.site.folder().join("settings");
        fs::create_dir_all(&folder)?;
        let hash = self.tool(&["token", "hash", TOKEN])?;
        let teams = format!("[teams.escola]\ntoken_sha256 = [\"{}\"]\n", hash.trim());
        fs::write(folder.join("10-limits.toml"), LIMITS)?;
        fs::write(folder.join("20-teams.toml"), teams)?;
        self.tool(&["config", "check", utf8(&folder)?])?;
        self.tool(&[
            "config",
            "sync",
            utf8(&folder)?,
            "--wait",
            "--author",
            "demo",
        ])?;
        Ok(())
    }

    fn submit(&self, description: &str, extra_args: &[&str]) -> BoxResult<()> {
        println!("demo: {description}");
        let mut args = vec![
            "submit",
            "--payload",
            "{\"sleep_ms\": 120}",
            "--run-ms",
            "120",
        ];
        args.extend(extra_args);
        let began = time::Instant::now();
        self.tool(&args)?;
        println!(
            "demo: {description} answered after {} ms",
            began.elapsed().as_millis()
        );
        Ok(())
    }

    /// Runs the command-line tool as an operator would; prints and returns its output.
    fn tool(&self, args: &[&str]) -> BoxResult<String> {
        println!("$ bulrushtiller {}", args.join(" "));
        let addresses: Vec<_> = self
            .entries
            .iter()
            .map(|daemon| daemon.address().to_string())
            .collect();
        let output = process::Command::new(self.site.program("bulrushtiller"))
            .args(args)
            .env("BULRUSHTILLER_ENTRIES", addresses.join(","))
            .env("BULRUSHTILLER_LOG", self.log.address().to_string())
            .env("BULRUSHTILLER_TOKEN", TOKEN)
            .output()?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        print!("{text}");
        eprint!("{}", String::from_utf8_lossy(&output.stderr));
        if !output.status.success() {
            return Err(format!("'{}' exited with {}", args.join(" "), output.status).into());
        }
        Ok(text)
    }

    fn starts_in_caxias(&self) -> BoxResult<usize> {
        let mut starts = 0;
        for worker in &self.workers[..2] {
            starts += start_count(worker)?;
        }
        Ok(starts)
    }

    /// Stops the daemons with SIGTERM, entries last.
    fn stop(&mut self) -> BoxResult<()> {
        for daemon in self.runners.iter_mut().chain(&mut self.entries) {
            daemon.terminate()?;
            let status = daemon.wait_exit(STOP_LIMIT)?;
            let name = daemon.name();
            match status {
                Some(status) if status.success() => println!("demo: {name} stopped gracefully"),
                Some(status) => return Err(format!("{name} exited with {status}").into()),
                None => return Err(format!("{name} did not stop within the time limit").into()),
            }
        }
        // The log and the workers are killed when dropped.
        thread::yield_now();
        Ok(())
    }
}

fn utf8(path: &path::Path) -> BoxResult<&str> {
    path.to_str()
        .ok_or_else(|| "the path of the temporary folder is not valid UTF-8".into())
}

/// Returns the number of tasks that a worker has started.
fn start_count(worker: &processes::Process) -> BoxResult<usize> {
    let url = format!("http://{}/v1/journal?from=0", worker.address());
    let journal: worker::Journal = actix_rt::System::new().block_on(async move {
        let mut response = awc::Client::new()
            .get(url)
            .send()
            .await
            .map_err(|e| e.to_string())?;
        response
            .json()
            .limit(16 << 20)
            .await
            .map_err(|e| e.to_string())
    })?;
    let starts = journal
        .entries
        .iter()
        .filter(|entry| entry.event == worker::Event::Start);
    Ok(starts.count())
}
