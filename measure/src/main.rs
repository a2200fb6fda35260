//! Prints the table of a load pattern, or renews the tables of pages.

use std::error;
use std::fs;
use std::path;
use std::process;

use bulrushtiller_measure::pages;
use bulrushtiller_measure::patterns;
use bulrushtiller_measure::report;
use bulrushtiller_measure::sim;

const USAGE: &str = "\
Prints the table of a load pattern.

Usage: bulrushtiller-measure PATTERN [--site taipa|formulario] [--seed N] [--load L]
       bulrushtiller-measure renew PAGE...

'renew' measures the tables of pages again, for all seeds, and replaces them in place.

";

/// Subcommand that renews the tables of pages.
const RENEW: &str = "renew";

fn main() -> process::ExitCode {
    let mut args = pico_args::Arguments::from_env();
    let site: Option<String> = args.opt_value_from_str("--site").unwrap_or_default();
    let seed: u64 = args
        .opt_value_from_str("--seed")
        .ok()
        .flatten()
        .unwrap_or(1);
    let load: f64 = args
        .opt_value_from_str("--load")
        .ok()
        .flatten()
        .unwrap_or(0.7);
    let site = match site.as_deref() {
        Some("formulario") => sim::Site::formulario(),
        _ => sim::Site::taipa(),
    };
    let name = args.opt_free_from_str::<String>().ok().flatten();
    if name.as_deref() == Some(RENEW) {
        return renew_all(args);
    }
    let Some(pattern) = name.as_deref().and_then(patterns::find) else {
        print!("{USAGE}");
        println!("Patterns: {}", names().join(", "));
        return process::ExitCode::SUCCESS;
    };
    println!("{}", report::TABLE_HEADER);
    for (name, figures) in pattern(&site, load, seed) {
        println!("{}", report::row(&name, &figures));
    }
    process::ExitCode::SUCCESS
}

fn renew_all(args: pico_args::Arguments) -> process::ExitCode {
    for path in args.finish() {
        if let Err(e) = renew(path.as_ref()) {
            eprintln!("{}: {e}", path.display());
            return process::ExitCode::FAILURE;
        }
    }
    process::ExitCode::SUCCESS
}

fn renew(path: &path::Path) -> Result<(), Box<dyn error::Error>> {
    let page = fs::read_to_string(path)?;
    fs::write(path, pages::renew(&page)?)?;
    Ok(())
}

fn names() -> Vec<&'static str> {
    patterns::ALL.iter().map(|(name, _)| *name).collect()
}
