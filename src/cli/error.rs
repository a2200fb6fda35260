//! The tool's one error, and how it ends the process.

use std::io;

use smol_str::SmolStr;

use crate::cli;
use crate::client;
use crate::codes;
use crate::ids;

/// What a subcommand gives back.
pub type CliResult<T> = Result<T, CliError>;

quick_error! {
    /// Why a subcommand did not end well.
    #[derive(Debug)]
    pub enum CliError {
        /// The command line or the tool's own settings are wrong.
        Usage(text: String) {
            from()
            from(err: pico_args::Error) -> (err.to_string())
            from(err: ids::IdError) -> (err.to_string())
            display("{text}")
        }
        /// A file or a pipe failed.
        Io(what: String, err: io::Error) {
            display("{what}: {err}")
            source(err)
        }
        /// An entry or the log could not be called.
        Client(err: client::ClientError) {
            from()
            display("{err}")
            source(err)
        }
        /// A numbered result, in words.
        Failed(code: codes::Code, text: SmolStr) {
            display("{text}")
        }
        /// A numbered result that has been printed already.
        Ended(code: codes::Code) {
            display("{code}")
        }
    }
}

impl CliError {
    /// A numbered result with details.
    pub fn failed(code: codes::Code, text: impl AsRef<str>) -> Self {
        Self::Failed(code, SmolStr::new(text))
    }

    /// The numbered result, for the exit status and for scripts.
    pub fn code(&self) -> codes::Code {
        match self {
            Self::Usage(_) => codes::Code::Usage,
            Self::Io(..) => codes::Code::Io,
            Self::Client(err) => err.code(),
            Self::Failed(code, _) | Self::Ended(code) => *code,
        }
    }

    /// Whether the reader of the output went away, as `| head` does.
    pub fn is_broken_pipe(&self) -> bool {
        matches!(self, Self::Io(_, err) if err.kind() == io::ErrorKind::BrokenPipe)
    }

    /// Whether there is something left to be said about it.
    pub const fn is_printed(&self) -> bool {
        matches!(self, Self::Ended(_))
    }
}

/// Tells the user about an error and gives the exit status.
///
/// A reader of the output that went away, as `| head` does, has what it wanted:
/// that ends quietly.
pub fn report(err: &CliError) -> i32 {
    if err.is_broken_pipe() {
        return 0;
    }
    let code = err.code();
    if !err.is_printed() {
        cli::out::note(format_args!("{}: {err}", code.number()));
    }
    code.exit_status()
}
