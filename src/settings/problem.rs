//! Reasons for rejecting a settings folder.

use std::error;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::codes;

/// Value of [`Problem::file`] for a problem of the folder as a whole.
pub const WHOLE_FOLDER: &str = ".";

/// One reason for a rejection and where it was found.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct Problem {
    /// The file's name, or [`WHOLE_FOLDER`].
    pub file: SmolStr,
    /// The line within the file, from 1; 0 if the problem is not tied to a line.
    pub line: u32,
    /// Path of the key; empty if the problem is not tied to a key.
    pub key: SmolStr,
    /// Result code of the problem.
    pub code: codes::Code,
    /// Human-readable description.
    pub reason: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}: {}", self.file, self.reason),
            line => write!(f, "{}:{line}: {}", self.file, self.reason),
        }
    }
}

impl error::Error for Problem {}
