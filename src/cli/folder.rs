//! A settings folder on the operator's machine.

use std::collections;
use std::fs;
use std::path;

use smol_str::SmolStr;

use crate::cli;

/// Ending of the files that count; others are passed over.
const ENDING: &str = "toml";

/// Reads the folder's TOML files by name.
pub fn read(folder: &path::Path) -> cli::CliResult<collections::BTreeMap<SmolStr, String>> {
    let failed = |err| cli::CliError::Io(folder.display().to_string(), err);
    let mut files = collections::BTreeMap::new();
    for entry in fs::read_dir(folder).map_err(failed)? {
        let path = entry.map_err(failed)?.path();
        let is_toml = path.extension().is_some_and(|ending| ending == ENDING);
        if is_toml && path.is_file() {
            files.insert(name(&path)?, read_file(&path)?);
        }
    }
    Ok(files)
}

/// Reads one file.
pub fn read_file(path: &path::Path) -> cli::CliResult<String> {
    fs::read_to_string(path).map_err(|err| cli::CliError::Io(path.display().to_string(), err))
}

/// The last part of a path.
pub fn name(path: &path::Path) -> cli::CliResult<SmolStr> {
    let name = path.file_name().and_then(|name| name.to_str());
    let missing = || cli::CliError::Usage(format!("{} has no file name", path.display()));
    name.map(SmolStr::new).ok_or_else(missing)
}
