//! A folder of its own for each test, in which the tool is run.

use std::fs;
use std::io::Write as _;
use std::path;
use std::process;

/// Tokens that the fakes accept need not be real.
pub const TOKEN: &str = "secret-of-taipa";

/// An address at which nothing listens: the discard port of this machine.
pub const NOBODY: &str = "127.0.0.1:9";

/// A temporary folder that is removed with its test.
#[derive(Debug)]
pub struct Workdir {
    folder: tempfile::TempDir,
}

/// What the tool did.
#[derive(Clone, Debug)]
pub struct Run {
    /// Its exit status; -1 when a signal ended it.
    pub status: i32,
    /// Its standard output.
    pub stdout: String,
    /// Its standard error.
    pub stderr: String,
}

impl Run {
    /// The standard output as JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|err| panic!("{err}: {self:?}"))
    }
}

impl From<process::Output> for Run {
    fn from(output: process::Output) -> Self {
        Self {
            status: output.status.code().unwrap_or(-1),
            stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }
}

impl Workdir {
    /// An empty folder.
    pub fn new() -> Self {
        Self {
            folder: tempfile::tempdir().unwrap(),
        }
    }

    /// Writes a file, and the folders on the way to it.
    pub fn create(&self, name: &str, text: &str) -> path::PathBuf {
        let path = self.folder.path().join(name);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(&path, text).unwrap();
        path
    }

    /// The tool, to be run in the folder with nothing of the caller's environment.
    pub fn command(&self, args: &[&str]) -> process::Command {
        let mut command = process::Command::new(env!("CARGO_BIN_EXE_bulrushtiller"));
        command.current_dir(self.folder.path()).env_clear();
        command.env("USER", "ana").args(args);
        command
    }

    /// Runs the tool to its end.
    pub fn run(&self, args: &[&str]) -> Run {
        self.command(args).output().unwrap().into()
    }

    /// Runs the tool to its end with something to read.
    pub fn run_with_input(&self, args: &[&str], input: &str) -> Run {
        let mut command = self.command(args);
        command.stdin(process::Stdio::piped());
        command
            .stdout(process::Stdio::piped())
            .stderr(process::Stdio::piped());
        let mut child = command.spawn().unwrap();
        child
            .stdin
            .take()
            .unwrap()
            .write_all(input.as_bytes())
            .unwrap();
        child.wait_with_output().unwrap().into()
    }

    /// Runs the tool while this thread serves what it calls.
    pub async fn run_beside(&self, args: &[&str]) -> Run {
        let mut command = self.command(args);
        let output = actix_rt::task::spawn_blocking(move || command.output());
        output.await.unwrap().unwrap().into()
    }
}
