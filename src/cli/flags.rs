//! Parsing of command-line arguments.

use std::env;
use std::ffi;
use std::fmt;
use std::str;
use std::time;

use smol_str::SmolStr;

use crate::cli;
use crate::settings::ranges;

/// Usage text of the options that every command accepts.
pub const COMMON: &str = "
Common options:
    --entries A,B   Entries to call, each HOST:PORT (BULRUSHTILLER_ENTRIES)
    --token TOKEN   The team's bearer token (BULRUSHTILLER_TOKEN)
    --log HOST:PORT The log service (BULRUSHTILLER_LOG)
    --config FILE   TOML file with entries, token and log
    -h, --help      Show this text

Flags take precedence over the environment, and that over the file.
";

/// Longest time that a flag accepts: a day.
pub const MAX_TIME: time::Duration = time::Duration::from_secs(86_400);

/// Returns the arguments of a command, or `None` after printing the usage for `--help`.
pub fn arguments_or_help(
    argv: Vec<ffi::OsString>,
    usage: &str,
) -> cli::CliResult<Option<pico_args::Arguments>> {
    let mut args = pico_args::Arguments::from_vec(argv);
    if args.contains(["-h", "--help"]) {
        cli::out::print(&format!("{}{COMMON}", usage.trim_start()))?;
        return Ok(None);
    }
    Ok(Some(args))
}

/// Returns the remaining arguments as positional ones; fails if an option is among them.
pub fn positionals(args: pico_args::Arguments) -> cli::CliResult<Vec<String>> {
    args.finish().into_iter().map(positional_text).collect()
}

fn positional_text(arg: ffi::OsString) -> cli::CliResult<String> {
    let text = arg
        .into_string()
        .map_err(|invalid| cli::CliError::Usage(format!("{} is not UTF-8", invalid.display())))?;
    if text.len() > 1 && text.starts_with('-') {
        return Err(cli::CliError::Usage(format!(
            "option {text} is unknown, repeated or cannot be combined with the others"
        )));
    }
    Ok(text)
}

/// Checks that no arguments remain.
pub fn finish(args: pico_args::Arguments) -> cli::CliResult<()> {
    match positionals(args)?.first() {
        Some(text) => Err(cli::CliError::Usage(format!(
            "unexpected argument '{text}'"
        ))),
        None => Ok(()),
    }
}

/// Returns the only remaining argument; fails unless there is exactly one.
pub fn single_positional(args: pico_args::Arguments, what: &str) -> cli::CliResult<String> {
    let mut positionals = positionals(args)?;
    match (positionals.pop(), positionals.is_empty()) {
        (Some(text), true) => Ok(text),
        _ => Err(cli::CliError::Usage(format!(
            "exactly one {what} is required"
        ))),
    }
}

/// Takes the value of an option; an error about an invalid value names the option.
pub fn value<T>(args: &mut pico_args::Arguments, key: &'static str) -> cli::CliResult<Option<T>>
where
    T: str::FromStr,
    T::Err: fmt::Display,
{
    match args.opt_value_from_str(key) {
        Err(pico_args::Error::Utf8ArgumentParsingFailed { value, cause }) => Err(
            cli::CliError::Usage(format!("{key}: failed to parse '{value}': {cause}")),
        ),
        other => Ok(other?),
    }
}

/// Takes an option with a time in milliseconds, up to [`MAX_TIME`].
pub fn millis(
    args: &mut pico_args::Arguments,
    key: &'static str,
) -> cli::CliResult<Option<time::Duration>> {
    let ms: Option<u64> = value(args, key)?;
    let time = ms.map(time::Duration::from_millis);
    if time.is_some_and(|time| time > MAX_TIME) {
        let max = MAX_TIME.as_millis();
        return Err(cli::CliError::Usage(format!("{key} is at most {max}")));
    }
    Ok(time)
}

/// Takes `--author`, or else the user name in `USER`.
pub fn author(args: &mut pico_args::Arguments) -> cli::CliResult<SmolStr> {
    let author_flag: Option<SmolStr> = value(args, "--author")?;
    let user = || env::var("USER").ok().map(SmolStr::from);
    let author = author_flag.or_else(user).unwrap_or_default();
    let is_valid =
        author.len() <= ranges::MAX_AUTHOR_BYTES && !author.chars().any(char::is_control);
    if author.is_empty() || !is_valid {
        let max = ranges::MAX_AUTHOR_BYTES;
        let text = format!("an author of 1 to {max} bytes is required: set --author or USER");
        return Err(cli::CliError::Usage(text));
    }
    Ok(author)
}

/// Checks that an address has the form `HOST:PORT`.
pub fn check_address(address: &str) -> cli::CliResult<()> {
    let is_valid_host = |host: &str| {
        let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b".-_[]:".contains(&b);
        !host.is_empty() && host.bytes().all(is_allowed)
    };
    let parts = address.rsplit_once(':');
    let is_valid =
        parts.is_some_and(|(host, port)| is_valid_host(host) && port.parse::<u16>().is_ok());
    if !is_valid {
        return Err(cli::CliError::Usage(format!(
            "'{address}' is not HOST:PORT"
        )));
    }
    Ok(())
}
