//! Prints the table of a load pattern.

use bulrushtiller_measure::patterns;
use bulrushtiller_measure::report;
use bulrushtiller_measure::sim;

const USAGE: &str = "\
Prints the table of a load pattern.

Usage: bulrushtiller-measure PATTERN [--site taipa|formulario] [--seed N] [--load L]

";

fn main() {
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
    let Some(pattern) = name.as_deref().and_then(patterns::find) else {
        print!("{USAGE}");
        println!("Patterns: {}", names().join(", "));
        return;
    };
    println!("{}", report::HEADS);
    for (name, figures) in pattern(&site, load, seed) {
        println!("{}", report::row(&name, &figures));
    }
}

fn names() -> Vec<&'static str> {
    patterns::ALL.iter().map(|(name, _)| *name).collect()
}
