//! Reading the flags that commands share.

use std::env;
use std::ffi;
use std::fmt;
use std::str;
use std::time;

use smol_str::SmolStr;

use crate::cli;
use crate::settings::ranges;

/// The options that every command understands.
pub const COMMON: &str = "
Common options:
    --entries A,B   Entries to call, each HOST:PORT (BULRUSHTILLER_ENTRIES)
    --token TOKEN   The team's bearer token (BULRUSHTILLER_TOKEN)
    --log HOST:PORT The log service (BULRUSHTILLER_LOG)
    --config FILE   TOML file with entries, token and log
    -h, --help      Show this text

Flags go before the environment, and that before the file.
";

/// Longest time that a flag can give: a day.
pub const MAX_TIME: time::Duration = time::Duration::from_secs(86_400);

/// Starts to read a command line; shows the usage when it is asked for.
///
/// Gives `None` when nothing is left to be done.
pub fn start(
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

/// Takes what is left as free arguments; an option among it is unknown.
pub fn free(args: pico_args::Arguments) -> cli::CliResult<Vec<String>> {
    args.finish().into_iter().map(free_one).collect()
}

fn free_one(arg: ffi::OsString) -> cli::CliResult<String> {
    let text = arg
        .into_string()
        .map_err(|bad| cli::CliError::Usage(format!("{} is not UTF-8", bad.display())))?;
    if text.len() > 1 && text.starts_with('-') {
        return Err(cli::CliError::Usage(format!(
            "option {text} is unknown, repeated or does not go with the others"
        )));
    }
    Ok(text)
}

/// Ends the command line: there must be nothing left.
pub fn finish(args: pico_args::Arguments) -> cli::CliResult<()> {
    match free(args)?.first() {
        Some(text) => Err(cli::CliError::Usage(format!(
            "unexpected argument '{text}'"
        ))),
        None => Ok(()),
    }
}

/// Ends the command line with exactly one free argument.
pub fn one(args: pico_args::Arguments, what: &str) -> cli::CliResult<String> {
    let mut free = free(args)?;
    match (free.pop(), free.is_empty()) {
        (Some(text), true) => Ok(text),
        _ => Err(cli::CliError::Usage(format!(
            "exactly one {what} is needed"
        ))),
    }
}

/// Takes an option's value; the message names the option where it can't be read.
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

/// Takes a time in milliseconds, up to [`MAX_TIME`].
pub fn millis(
    args: &mut pico_args::Arguments,
    key: &'static str,
) -> cli::CliResult<Option<time::Duration>> {
    let ms: Option<u64> = value(args, key)?;
    let time = ms.map(time::Duration::from_millis);
    if time.is_some_and(|time| time > MAX_TIME) {
        let most = MAX_TIME.as_millis();
        return Err(cli::CliError::Usage(format!("{key} is at most {most}")));
    }
    Ok(time)
}

/// Takes `--author`, or else the name of the user who is logged in.
pub fn author(args: &mut pico_args::Arguments) -> cli::CliResult<SmolStr> {
    let given: Option<SmolStr> = value(args, "--author")?;
    let user = || env::var("USER").ok().map(SmolStr::from);
    let author = given.or_else(user).unwrap_or_default();
    let good = author.len() <= ranges::MAX_AUTHOR_BYTES && !author.chars().any(char::is_control);
    if author.is_empty() || !good {
        let most = ranges::MAX_AUTHOR_BYTES;
        let text = format!("an author of 1 to {most} bytes is needed: --author or USER");
        return Err(cli::CliError::Usage(text));
    }
    Ok(author)
}

/// Checks `HOST:PORT`.
pub fn check_address(address: &str) -> cli::CliResult<()> {
    let good_host = |host: &str| {
        let allowed = |b: u8| b.is_ascii_alphanumeric() || b".-_[]:".contains(&b);
        !host.is_empty() && host.bytes().all(allowed)
    };
    let parts = address.rsplit_once(':');
    let good = parts.is_some_and(|(host, port)| good_host(host) && port.parse::<u16>().is_ok());
    if !good {
        return Err(cli::CliError::Usage(format!(
            "'{address}' is not HOST:PORT"
        )));
    }
    Ok(())
}
