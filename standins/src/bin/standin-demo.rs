//! The whole path on one machine, as separate processes; `./demo` builds and runs it.

use std::error;
use std::fs;
use std::path;
use std::process;
use std::thread;
use std::time;

use bulrushtiller_standins::processes;
use bulrushtiller_standins::site;
use bulrushtiller_standins::worker;

type Outcome<T> = Result<T, Box<dyn error::Error>>;

/// Longest wait for a daemon's graceful stop.
const STOP_LIMIT: time::Duration = time::Duration::from_secs(30);

/// The bearer token of the demo's team, and its SHA-256.
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
            println!("demo: all of it was seen");
            process::ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("demo: {e}");
            process::ExitCode::FAILURE
        }
    }
}

fn run() -> Outcome<()> {
    let programs = std::env::current_exe()?;
    let programs = programs
        .parent()
        .ok_or("the program stands in no folder")?
        .to_owned();
    let folder = std::env::temp_dir().join(format!("bulrushtiller-demo-{}", process::id()));
    fs::create_dir_all(&folder)?;
    let mut demo = start(site::Site::new(&programs, &folder))?;
    demo.show()?;
    demo.stop()?;
    fs::remove_dir_all(&folder)?;
    Ok(())
}

fn start(site: site::Site) -> Outcome<Demo> {
    let log = site.log(&[])?;
    println!("demo: log service at {}", log.address());
    let mut links = site::Endpoints {
        log: log.address(),
        entries: Vec::new(),
    };
    let mut entries = Vec::new();
    for (name, zone) in [("entry-1", "caxias"), ("entry-2", "bento")] {
        let entry = site.entry(&site::Location::new(name, zone), &links)?;
        println!("demo: {name} in {zone} at {}", entry.address());
        links.entries.push(entry.wait_for_address("peers")?);
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
        let place = site::Location::new(name, zone);
        let runner = site.runner(&place, &links, worker.address(), &[])?;
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
    fn show(&self) -> Outcome<()> {
        self.publish()?;
        self.submit("job before", &["--tasks", "6"])?;
        self.submit("non-idempotent request", &["--request"])?;
        let before = self.starts_in_caxias()?;
        if before == 0 {
            return Err("nothing started in caxias while it was in service".into());
        }
        self.tool(&["zone", "out", "caxias", "--author", "demo"])?;
        let out = self.starts_in_caxias()?;
        self.submit("job with caxias out", &["--tasks", "12"])?;
        let after = self.starts_in_caxias()?;
        println!("demo: starts in caxias: {before} before, {out} when out, {after} after the job");
        if after != out {
            return Err("a task started in a zone that was out of service".into());
        }
        self.tool(&["status"])?;
        Ok(())
    }

    fn publish(&self) -> Outcome<()> {
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

    fn submit(&self, what: &str, more: &[&str]) -> Outcome<()> {
        println!("demo: {what}");
        let mut args = vec![
            "submit",
            "--payload",
            "{\"sleep_ms\": 120}",
            "--run-ms",
            "120",
        ];
        args.extend(more);
        let began = time::Instant::now();
        self.tool(&args)?;
        println!(
            "demo: {what} answered after {} ms",
            began.elapsed().as_millis()
        );
        Ok(())
    }

    /// Runs the shipped tool as an operator would, and shows what it prints.
    fn tool(&self, args: &[&str]) -> Outcome<String> {
        println!("$ bulrushtiller {}", args.join(" "));
        let addresses: Vec<_> = self
            .entries
            .iter()
            .map(|one| one.address().to_string())
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
            return Err(format!("'{}' ended with {}", args.join(" "), output.status).into());
        }
        Ok(text)
    }

    fn starts_in_caxias(&self) -> Outcome<usize> {
        let mut starts = 0;
        for worker in &self.workers[..2] {
            starts += starts_at(worker)?;
        }
        Ok(starts)
    }

    /// Stops the daemons as an operator's tools would, entries last.
    fn stop(&mut self) -> Outcome<()> {
        for one in self.runners.iter_mut().chain(&mut self.entries) {
            one.terminate()?;
            let status = one.wait_exit(STOP_LIMIT)?;
            let name = one.name();
            match status {
                Some(status) if status.success() => println!("demo: {name} stopped gracefully"),
                Some(status) => return Err(format!("{name} ended with {status}").into()),
                None => return Err(format!("{name} did not stop").into()),
            }
        }
        // The stand-ins are killed when dropped.
        thread::yield_now();
        Ok(())
    }
}

fn utf8(path: &path::Path) -> Outcome<&str> {
    path.to_str()
        .ok_or_else(|| "the temporary folder's path is not UTF-8".into())
}

/// How many tasks a worker has started.
fn starts_at(worker: &processes::Process) -> Outcome<usize> {
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
        .filter(|one| one.event == worker::Event::Start);
    Ok(starts.count())
}
