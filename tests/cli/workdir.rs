//! Temporary working directory in which a test runs the tool.

use std::fs;
use std::io::Write as _;
use std::path;
use std::process;

/// Bearer token; the fakes accept any.
pub const TOKEN: &str = "secret-of-taipa";

/// Address on which nothing listens: the discard port of this machine.
pub const UNUSED_ADDRESS: &str = "127.0.0.1:9";

/// Temporary directory that is removed at the end of the test.
#[derive(Debug)]
pub struct Workdir {
    folder: tempfile::TempDir,
}

/// Result of running the tool.
#[derive(Clone, Debug)]
pub struct Run {
    /// Exit status; -1 if a signal ended the process.
    pub status: i32,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

impl Run {
    /// Parses the standard output as JSON.
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
    /// Creates an empty directory.
    pub fn new() -> Self {
        Self {
            folder: tempfile::tempdir().unwrap(),
        }
    }

    /// Writes a file and creates its parent directories.
    pub fn create(&self, name: &str, text: &str) -> path::PathBuf {
        let path = self.folder.path().join(name);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(&path, text).unwrap();
        path
    }

    /// Returns a command that runs the tool in the directory, without the environment of the test.
    pub fn command(&self, args: &[&str]) -> process::Command {
        let mut command = process::Command::new(env!("CARGO_BIN_EXE_bulrushtiller"));
        command.current_dir(self.folder.path()).env_clear();
        command.env("USER", "ana").args(args);
        command
    }

    /// Runs the tool and waits for it.
    pub fn run(&self, args: &[&str]) -> Run {
        self.command(args).output().unwrap().into()
    }

    /// Runs the tool with `input` as standard input and waits for it.
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

    /// Runs the tool on another thread, so that this one can serve its calls.
    pub async fn run_async(&self, args: &[&str]) -> Run {
        let mut command = self.command(args);
        let output = actix_rt::task::spawn_blocking(move || command.output());
        output.await.unwrap().unwrap().into()
    }
}
