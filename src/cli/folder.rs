//! Reads settings folders on the operator's machine.

use std::fs;
use std::io;
use std::path;

use smol_str::SmolStr;

use crate::cli;
use crate::codes;
use crate::settings::merge;
use crate::settings::problem;

/// Extension of settings files; other files are ignored.
const EXTENSION: &str = "toml";

/// Contents of a settings folder.
#[derive(Clone, Debug, Default)]
pub struct Folder {
    /// Text of each readable file, by name.
    pub files: merge::Files,
    /// Problems of the files that could not be read.
    pub unreadable: Vec<problem::Problem>,
}

/// Reads the TOML files of a folder.
///
/// A dangling link or a file without read permission is reported as a problem. If it were
/// ignored, it would look removed, and `sync` would remove its keys from the settings in
/// force.
pub fn read(folder: &path::Path) -> cli::CliResult<Folder> {
    let failed = |err| cli::CliError::Io(folder.display().to_string(), err);
    let mut read = Folder::default();
    for entry in fs::read_dir(folder).map_err(failed)? {
        let path = entry.map_err(failed)?.path();
        if path.extension().is_none_or(|ext| ext != EXTENSION) {
            continue;
        }
        match read_settings_file(&path) {
            Ok((name, text)) => drop(read.files.insert(name, text)),
            Err(problem) => read.unreadable.push(problem),
        }
    }
    read.unreadable.sort();
    Ok(read)
}

fn read_settings_file(path: &path::Path) -> Result<(SmolStr, String), problem::Problem> {
    let lossy_name = path.file_name().unwrap_or_default().to_string_lossy();
    let problem = |line, code, reason| problem::Problem {
        file: SmolStr::new(&lossy_name),
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
    let bad_name = |_err| {
        let reason = "the file's name is not UTF-8".to_owned();
        problem(0, codes::Code::SettingsBadName, reason)
    };
    Ok((name(path).map_err(bad_name)?, text))
}

/// Returns the line number, from 1, of a byte offset in a text.
fn line_at(text: &[u8], offset: usize) -> u32 {
    let lines = text[..offset].split(|b| *b == b'\n').count();
    u32::try_from(lines).unwrap_or(u32::MAX)
}

/// Reads a file as text.
pub fn read_file(path: &path::Path) -> cli::CliResult<String> {
    let failed = |err: io::Error| cli::CliError::Io(path.display().to_string(), err);
    fs::read_to_string(path).map_err(failed)
}

/// Returns the file name of a path.
pub fn name(path: &path::Path) -> cli::CliResult<SmolStr> {
    let name = path.file_name().and_then(|name| name.to_str());
    let missing = || cli::CliError::Usage(format!("{} has no file name", path.display()));
    name.map(SmolStr::new).ok_or_else(missing)
}
