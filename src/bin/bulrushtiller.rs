//! Command-line tool for operators and callers.

use std::env;
use std::process;

use bulrushtiller::cli;
use bulrushtiller::cmd;

fn main() {
    let result = cmd::run(env::args_os().skip(1).collect());
    process::exit(result.map_or_else(|err| cli::error::report(&err), |()| 0));
}
