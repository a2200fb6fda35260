//! Error type of the subcommands and its exit status.

use std::io;

use smol_str::SmolStr;

use crate::cli;
use crate::client;
use crate::codes;
use crate::ids;

/// Result of a subcommand.
pub type CliResult<T> = Result<T, CliError>;

quick_error! {
    /// Reason why a subcommand failed.
    #[derive(Debug)]
    pub enum CliError {
        /// The command line or the configuration of the tool is invalid.
        Usage(text: String) {
            from()
            from(err: pico_args::Error) -> (err.to_string())
            from(err: ids::IdError) -> (err.to_string())
            display("{text}")
        }
        /// Reading or writing a file or a pipe failed.
        Io(what: String, err: io::Error) {
            display("{what}: {err}")
            source(err)
        }
        /// A call to a daemon or the log failed.
        Client(err: client::ClientError) {
            from()
            display("{err}")
            source(err)
        }
        /// A result code with details, to be printed.
        Failed(code: codes::Code, text: SmolStr) {
            display("{text}")
        }
        /// A result code whose details have already been printed.
        Reported(code: codes::Code) {
            display("{code}")
        }
    }
}

impl CliError {
    /// Creates an error from a result code and details.
    pub fn failed(code: codes::Code, text: impl AsRef<str>) -> Self {
        Self::Failed(code, SmolStr::new(text))
    }

    /// Returns the result code, which decides the exit status.
    pub fn code(&self) -> codes::Code {
        match self {
            Self::Usage(_) => codes::Code::Usage,
            Self::Io(..) => codes::Code::Io,
            Self::Client(err) => err.code(),
            Self::Failed(code, _) | Self::Reported(code) => *code,
        }
    }

    /// Whether the reader closed the output pipe, as `| head` does.
    pub fn is_broken_pipe(&self) -> bool {
        matches!(self, Self::Io(_, err) if err.kind() == io::ErrorKind::BrokenPipe)
    }

    /// Whether the details have already been printed.
    pub const fn is_printed(&self) -> bool {
        matches!(self, Self::Reported(_))
    }
}

/// Prints an error to standard error and returns the exit status.
///
/// A reader that closes the output pipe, as `| head` does, has read all it needs; the tool
/// then ends with status 0 and prints nothing.
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
