//! Starts, suspends and ends child processes for tests and the demo.

use std::ffi;
use std::fs;
use std::io;
use std::io::BufRead as _;
use std::io::Write as _;
use std::net;
use std::path;
use std::process;
use std::sync;
use std::thread;
use std::time;

use rustix::process::Signal;

use crate::lock;

/// Maximum time until a process prints an address; long enough for a machine under load.
const START_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Interval between two checks of a child's state.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Maximum time until a process is suspended after SIGSTOP.
const SUSPEND_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Fields of the kernel's status of a process that tell why it has not started.
const STATE_FIELDS: [&str; 5] = [
    "State:",
    "Threads:",
    "VmRSS:",
    "voluntary_ctxt_switches:",
    "nonvoluntary_ctxt_switches:",
];

/// Label of the line with the address that a process serves.
const LISTENING: &str = "listening";

quick_error! {
    /// Error of starting a process or of waiting for its address.
    #[derive(Debug)]
    pub enum Error {
        /// The program could not be started or its log files could not be opened.
        Io(err: io::Error) {
            display("{err}")
            source(err)
            from()
        }
        /// The process closed its output before it printed the address.
        Exited(name: String, label: String) {
            display("{name} closed its output before it printed '{label} IP:PORT'")
        }
        /// The process did not print the address in time.
        TimedOut(name: String, label: String, state: String) {
            display("{name} did not print '{label} IP:PORT' within the start timeout: {state}")
        }
    }
}

/// Addresses that a process has printed so far, each with its label.
#[derive(Debug, Default)]
struct Printed {
    addresses: Vec<(String, net::SocketAddr)>,
    closed: bool,
}

type Output = sync::Arc<(sync::Mutex<Printed>, sync::Condvar)>;

/// A child process, which is killed when dropped.
///
/// Its output is appended to `NAME.out` and `NAME.err` in the log folder, after the output
/// of earlier processes with the same name.
#[derive(Debug)]
pub struct Process {
    name: String,
    address: net::SocketAddr,
    child: process::Child,
    output: Output,
    reader: Option<thread::JoinHandle<()>>,
}

impl Process {
    /// Starts `program` and waits until it prints `listening IP:PORT`.
    pub fn start<I, S>(
        program: &path::Path,
        args: I,
        name: &str,
        folder: &path::Path,
    ) -> Result<Self, Error>
    where
        I: IntoIterator<Item = S>,
        S: AsRef<ffi::OsStr>,
    {
        let out = open_log_file(folder, name, "out")?;
        let err = open_log_file(folder, name, "err")?;
        let mut child = process::Command::new(program)
            .args(args)
            .stdin(process::Stdio::null())
            .stdout(process::Stdio::piped())
            .stderr(err)
            .spawn()?;
        let output = Output::default();
        let reader = child.stdout.take().map(|stdout| {
            let output = sync::Arc::clone(&output);
            thread::spawn(move || copy_output(stdout, out, &output))
        });
        let mut started = Self {
            name: name.to_owned(),
            address: net::SocketAddr::from(([0, 0, 0, 0], 0)),
            child,
            output,
            reader,
        };
        started.address = started.wait_for_address(LISTENING)?;
        Ok(started)
    }

    /// Returns the address that the process serves.
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns the name that the process was started with.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the process has printed a line `LABEL IP:PORT` and returns the address.
    pub fn wait_for_address(&self, label: &str) -> Result<net::SocketAddr, Error> {
        let (printed, changed) = &*self.output;
        let is_missing =
            |seen: &mut Printed| !seen.closed && seen.addresses.iter().all(|(l, _)| l != label);
        let (seen, wait_result) = changed
            .wait_timeout_while(lock(printed), START_TIMEOUT, is_missing)
            .unwrap_or_else(sync::PoisonError::into_inner);
        let found = seen.addresses.iter().find(|(l, _)| l == label);
        if let Some((_, address)) = found {
            return Ok(*address);
        }
        let (name, label) = (self.name.clone(), label.to_owned());
        if wait_result.timed_out() {
            return Err(Error::TimedOut(name, label, describe(self.child.id())));
        }
        Err(Error::Exited(name, label))
    }

    /// Sends SIGKILL and waits until the process has exited.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        if let Some(reader) = self.reader.take() {
            // The thread ends at the end of the output; a panic in it is ignored.
            drop(reader.join());
        }
        Ok(())
    }

    /// Sends SIGSTOP and waits until the process is suspended; its connections stay open.
    ///
    /// One thread handles the signal, and the others run on until that thread is scheduled.
    /// Without the wait, an entry on a machine under load still answers a call made after the
    /// signal, and a test concludes that it is not suspended.
    pub fn suspend(&mut self) -> io::Result<()> {
        self.signal(Signal::STOP)?;
        let pid = rustix::process::Pid::from_child(&self.child);
        let options =
            rustix::process::WaitIdOptions::STOPPED | rustix::process::WaitIdOptions::NOHANG;
        let until = time::Instant::now() + SUSPEND_TIMEOUT;
        while rustix::process::waitid(rustix::process::WaitId::Pid(pid), options)?.is_none() {
            if time::Instant::now() >= until {
                return Err(io::ErrorKind::TimedOut.into());
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Sends SIGCONT to a suspended process.
    pub fn resume(&mut self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Sends SIGTERM; [`Process::wait_exit`] waits for the exit.
    pub fn terminate(&mut self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Waits until the process has exited; returns `None` if it still runs after `limit`.
    pub fn wait_exit(&mut self, limit: time::Duration) -> io::Result<Option<process::ExitStatus>> {
        let end = time::Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(Some(status));
            }
            if time::Instant::now() >= end {
                return Ok(None);
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Sends a signal, unless the child has exited: once it is reaped, its id may be reused.
    fn signal(&mut self, signal: Signal) -> io::Result<()> {
        if self.child.try_wait()?.is_some() {
            return Ok(());
        }
        let pid = rustix::process::Pid::from_child(&self.child);
        Ok(rustix::process::kill_process(pid, signal)?)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.kill());
    }
}

/// Returns the kernel's state of a process: whether it runs, waits or is suspended, and how much it
/// has run.
fn describe(pid: u32) -> String {
    let is_told = |line: &&str| {
        let mut fields = STATE_FIELDS.iter();
        fields.any(|field| line.starts_with(field))
    };
    match fs::read_to_string(format!("/proc/{pid}/status")) {
        Ok(status) => {
            let lines: Vec<_> = status.lines().filter(is_told).collect();
            lines.join(", ").replace('\t', " ")
        }
        Err(err) => err.to_string(),
    }
}

fn open_log_file(folder: &path::Path, name: &str, suffix: &str) -> io::Result<fs::File> {
    let path = folder.join(format!("{name}.{suffix}"));
    fs::OpenOptions::new().create(true).append(true).open(path)
}

/// Copies the output of a child to its file and records the addresses in it.
fn copy_output(stdout: process::ChildStdout, mut file: fs::File, output: &Output) {
    let (printed, changed) = &**output;
    let mut lines = io::BufReader::new(stdout);
    let mut line = Vec::new();
    while lines.read_until(b'\n', &mut line).is_ok_and(|n| n > 0) {
        // Write errors are ignored: if reading stopped on a full disk, the child would block.
        drop(file.write_all(&line));
        if let Some(found) = parse_address(&line) {
            lock(printed).addresses.push(found);
            changed.notify_all();
        }
        line.clear();
    }
    lock(printed).closed = true;
    changed.notify_all();
}

fn parse_address(line: &[u8]) -> Option<(String, net::SocketAddr)> {
    let text = str::from_utf8(line).ok()?;
    let (label, address) = text.trim_end().split_once(' ')?;
    Some((label.to_owned(), address.parse().ok()?))
}
