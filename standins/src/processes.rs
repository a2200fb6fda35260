//! Starts, freezes and ends child processes for tests and the demo.

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

/// How long a process may take to print its address; generous, since machines are busy.
const START_LIMIT: time::Duration = time::Duration::from_secs(30);

/// How often an exit is looked for.
const EXIT_POLL: time::Duration = time::Duration::from_millis(5);

/// Longest time until a process that was told to stands still.
const STAND_STILL: time::Duration = time::Duration::from_secs(10);

/// The word before the address that a process serves.
const LISTENING: &str = "listening";

quick_error! {
    /// Why a process could not be started.
    #[derive(Debug)]
    pub enum Error {
        /// The program or its log files could not be opened.
        Io(err: io::Error) {
            display("{err}")
            source(err)
            from()
        }
        /// It closed its output before it printed the address.
        Ended(name: String, word: String) {
            display("{name} ended before it printed '{word} IP:PORT'")
        }
        /// It did not print the address in time.
        TimedOut(name: String, word: String) {
            display("{name} did not print '{word} IP:PORT' in time")
        }
    }
}

/// The addresses that a process has printed so far.
#[derive(Debug, Default)]
struct Announced {
    addresses: Vec<(String, net::SocketAddr)>,
    closed: bool,
}

type Output = sync::Arc<(sync::Mutex<Announced>, sync::Condvar)>;

/// A child process; dropped, it is killed.
///
/// Its output goes to `NAME.out` and `NAME.err` in the log folder, behind that of
/// earlier processes of the name.
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
        let out = open(folder, name, "out")?;
        let err = open(folder, name, "err")?;
        let mut child = process::Command::new(program)
            .args(args)
            .stdin(process::Stdio::null())
            .stdout(process::Stdio::piped())
            .stderr(err)
            .spawn()?;
        let output = Output::default();
        let reader = child.stdout.take().map(|stdout| {
            let output = sync::Arc::clone(&output);
            thread::spawn(move || collect(stdout, out, &output))
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

    /// The address that it serves.
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// The name it was started under.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for a further line `WORD IP:PORT` of its output.
    pub fn wait_for_address(&self, word: &str) -> Result<net::SocketAddr, Error> {
        let (announced, more) = &*self.output;
        let missing =
            |seen: &mut Announced| !seen.closed && seen.addresses.iter().all(|(w, _)| w != word);
        let (seen, waited) = more
            .wait_timeout_while(lock(announced), START_LIMIT, missing)
            .unwrap_or_else(sync::PoisonError::into_inner);
        let found = seen.addresses.iter().find(|(w, _)| w == word);
        if let Some((_, address)) = found {
            return Ok(*address);
        }
        let (name, word) = (self.name.clone(), word.to_owned());
        if waited.timed_out() {
            return Err(Error::TimedOut(name, word));
        }
        Err(Error::Ended(name, word))
    }

    /// SIGKILL; returns when it is gone.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        if let Some(reader) = self.reader.take() {
            // It ends with the output, and a panic there is of no further use.
            drop(reader.join());
        }
        Ok(())
    }

    /// SIGSTOP: it holds its connections and does nothing; returns once it stands still.
    ///
    /// The signal is taken by one thread, and the others go on until that one has had its turn
    /// on a processor. On a busy machine an entry still answered a call that was made after
    /// the signal, and a test took it for one that was not frozen.
    pub fn suspend(&mut self) -> io::Result<()> {
        self.signal(Signal::STOP)?;
        let pid = rustix::process::Pid::from_child(&self.child);
        let options =
            rustix::process::WaitIdOptions::STOPPED | rustix::process::WaitIdOptions::NOHANG;
        let until = time::Instant::now() + STAND_STILL;
        while rustix::process::waitid(rustix::process::WaitId::Pid(pid), options)?.is_none() {
            if time::Instant::now() >= until {
                return Err(io::ErrorKind::TimedOut.into());
            }
            thread::sleep(EXIT_POLL);
        }
        Ok(())
    }

    /// SIGCONT.
    pub fn resume(&mut self) -> io::Result<()> {
        self.signal(Signal::CONT)
    }

    /// SIGTERM: asks it to stop; see [`Process::wait_exit`].
    pub fn terminate(&mut self) -> io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Waits until it has ended; none if it still runs after `limit`.
    pub fn wait_exit(&mut self, limit: time::Duration) -> io::Result<Option<process::ExitStatus>> {
        let end = time::Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(Some(status));
            }
            if time::Instant::now() >= end {
                return Ok(None);
            }
            thread::sleep(EXIT_POLL);
        }
    }

    /// Once the child is reaped its id may be another process's, so nothing is sent.
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

fn open(folder: &path::Path, name: &str, suffix: &str) -> io::Result<fs::File> {
    let path = folder.join(format!("{name}.{suffix}"));
    fs::OpenOptions::new().create(true).append(true).open(path)
}

/// Copies a child's output to its file and picks out the addresses.
fn collect(stdout: process::ChildStdout, mut file: fs::File, output: &Output) {
    let (announced, more) = &**output;
    let mut lines = io::BufReader::new(stdout);
    let mut line = Vec::new();
    while lines.read_until(b'\n', &mut line).is_ok_and(|n| n > 0) {
        // A full disk must not stop the child, which would block on its output.
        drop(file.write_all(&line));
        if let Some(found) = parse(&line) {
            lock(announced).addresses.push(found);
            more.notify_all();
        }
        line.clear();
    }
    lock(announced).closed = true;
    more.notify_all();
}

fn parse(line: &[u8]) -> Option<(String, net::SocketAddr)> {
    let text = str::from_utf8(line).ok()?;
    let (word, address) = text.trim_end().split_once(' ')?;
    Some((word.to_owned(), address.parse().ok()?))
}
