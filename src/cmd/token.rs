//! `token`: hashes bearer tokens for the settings.

use std::ffi;
use std::io;

use sha2::Digest as _;

use crate::cli;
use crate::cli::flags;

const USAGE: &str = "
Prints the SHA-256 of a bearer token, for token_sha256 in a team's settings.

Usage:
    bulrushtiller token hash [TOKEN] [--json]

Without TOKEN, or with '-', the token is read from the first line of standard input,
which keeps it out of the shell's history.

Options:
    --json          Print {\"token_sha256\": \"...\"}
";

/// Longest line that is read, in bytes.
const MAX_TOKEN_BYTES: u64 = 4096;

struct Args {
    token: Option<String>,
    json: bool,
}

impl Args {
    fn parse(mut args: pico_args::Arguments) -> cli::CliResult<Self> {
        let json = args.contains("--json");
        let mut positionals = flags::positionals(args)?.into_iter();
        if positionals.next().as_deref() != Some("hash") {
            let text = format!("the only action is 'hash'\n\n{}", USAGE.trim());
            return Err(cli::CliError::Usage(text));
        }
        let token = positionals.next().filter(|token| token != "-");
        if let Some(extra) = positionals.next() {
            return Err(cli::CliError::Usage(format!(
                "unexpected argument '{extra}'"
            )));
        }
        Ok(Self { token, json })
    }
}

/// Runs `token`.
pub fn run(argv: Vec<ffi::OsString>) -> cli::CliResult<()> {
    let Some(args) = flags::arguments_or_help(argv, USAGE)? else {
        return Ok(());
    };
    let args = Args::parse(args)?;
    let token = match args.token {
        Some(token) => token,
        None => read_line()?,
    };
    if token.is_empty() || !token.bytes().all(|b| b.is_ascii_graphic()) {
        let text = "a token consists of at least one visible ASCII character, without spaces";
        return Err(cli::CliError::Usage(text.to_owned()));
    }
    let hash = hash(&token);
    if args.json {
        return cli::out::json(&serde_json::json!({ "token_sha256": hash }));
    }
    cli::out::line(hash)
}

fn read_line() -> cli::CliResult<String> {
    use io::BufRead as _;
    use io::Read as _;
    let mut line = String::new();
    let read = io::stdin()
        .lock()
        .take(MAX_TOKEN_BYTES)
        .read_line(&mut line);
    read.map_err(|err| cli::CliError::Io("standard input".to_owned(), err))?;
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}

fn hash(token: &str) -> String {
    format!("{:x}", sha2::Sha256::digest(token.as_bytes()))
}
