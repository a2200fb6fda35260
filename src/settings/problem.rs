//! Why a folder of settings was refused.

use std::error;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::codes;

/// Stands for the folder as a whole in [`Problem::file`].
pub const WHOLE_FOLDER: &str = ".";

/// One reason for a refusal, with the place that gave it.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct Problem {
    /// The file's name, or [`WHOLE_FOLDER`].
    pub file: SmolStr,
    /// The line within the file, from 1; 0 where no single line is at fault.
    pub line: u32,
    /// Path of the key, empty where no single key is at fault.
    pub key: SmolStr,
    /// The class of the problem.
    pub code: codes::Code,
    /// For people.
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
