//! A settings folder on the operator's machine.

use std::fs;
use std::io;
use std::path;

use smol_str::SmolStr;

use crate::cli;
use crate::codes;
use crate::settings::merge;
use crate::settings::problem;

/// Ending of the files that count; others are passed over.
const ENDING: &str = "toml";

/// A folder as far as it could be read.
#[derive(Clone, Debug, Default)]
pub struct Folder {
    /// The files that could be read.
    pub files: merge::Files,
    /// Why others could not.
    pub unread: Vec<problem::Problem>,
}

/// Reads the folder's TOML files by name.
///
/// A link to nothing or a file that may not be read counts as a problem. Passed over, it
/// would look removed, and a `sync` would take its keys out of force.
pub fn read(folder: &path::Path) -> cli::CliResult<Folder> {
    let failed = |err| cli::CliError::Io(folder.display().to_string(), err);
    let mut read = Folder::default();
    for entry in fs::read_dir(folder).map_err(failed)? {
        let path = entry.map_err(failed)?.path();
        if path.extension().is_none_or(|ending| ending != ENDING) {
            continue;
        }
        match read_member(&path) {
            Ok((name, text)) => drop(read.files.insert(name, text)),
            Err(problem) => read.unread.push(problem),
        }
    }
    read.unread.sort();
    Ok(read)
}

fn read_member(path: &path::Path) -> Result<(SmolStr, String), problem::Problem> {
    let shown = path.file_name().unwrap_or_default().to_string_lossy();
    let problem = |line, code, reason| problem::Problem {
        file: SmolStr::new(&shown),
        line,
        key: SmolStr::default(),
        code,
        reason,
    };
    let bytes = fs::read(path).map_err(|err| problem(0, codes::Code::Io, err.to_string()))?;
    let text = String::from_utf8(bytes).map_err(|err| {
        let line = line_at(err.as_bytes(), err.utf8_error().valid_up_to());
        let reason = "the file is not UTF-8".to_owned();
        problem(line, codes::Code::SettingsSyntax, reason)
    })?;
    let bad_name = |_bad| {
        let reason = "the file's name is not UTF-8".to_owned();
        problem(0, codes::Code::SettingsBadName, reason)
    };
    Ok((name(path).map_err(bad_name)?, text))
}

/// The line, from 1, that a place in a text is on.
fn line_at(text: &[u8], place: usize) -> u32 {
    let lines = text[..place].split(|b| *b == b'\n').count();
    u32::try_from(lines).unwrap_or(u32::MAX)
}

/// Reads one file.
pub fn read_file(path: &path::Path) -> cli::CliResult<String> {
    let failed = |err: io::Error| cli::CliError::Io(path.display().to_string(), err);
    fs::read_to_string(path).map_err(failed)
}

/// The last part of a path.
pub fn name(path: &path::Path) -> cli::CliResult<SmolStr> {
    let name = path.file_name().and_then(|name| name.to_str());
    let missing = || cli::CliError::Usage(format!("{} has no file name", path.display()));
    name.map(SmolStr::new).ok_or_else(missing)
}
