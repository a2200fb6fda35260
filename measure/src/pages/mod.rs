//! Renews the tables of the pages of measurements in place.
//!
//! A page says itself which tables it holds: each stands between a line
//! `<!-- table PATTERN [--site S] [--load L] [--layout L] [--columns A,B] -->` and a line
//! `<!-- end -->`. Everything outside such lines is prose and stays as it is.

mod layout;
mod marker;

pub use layout::Layout;
pub use marker::Marker;
pub use marker::PageError;

use crate::runs;

/// Line behind a table.
const END: &str = "<!-- end -->";

/// Seeds of each table.
pub const SEEDS: [u64; 3] = [1, 2, 3];

/// The tables that a page asks for, in their order.
pub fn markers(page: &str) -> Result<Vec<Marker>, PageError> {
    page.lines().filter_map(marker::parse).collect()
}

/// The page with each table printed anew.
pub fn renew(page: &str) -> Result<String, PageError> {
    let tables = markers(page)?;
    let runs: Vec<runs::Run> = tables.iter().flat_map(of_seeds).collect();
    let done = runs::all(&runs);
    let done = done.chunks(SEEDS.len()).zip(&tables);
    let printed: Vec<String> = done
        .map(|(seeds, table)| layout::print(table, seeds))
        .collect();
    replace(page, &printed)
}

fn of_seeds(table: &Marker) -> [runs::Run; SEEDS.len()] {
    SEEDS.map(|seed| runs::Run {
        pattern: table.run,
        site: table.site.clone(),
        load: table.load,
        seed,
    })
}

/// The page with these tables in place of those between its markers.
pub fn replace(page: &str, tables: &[String]) -> Result<String, PageError> {
    let mut renewed = String::with_capacity(page.len());
    let mut tables = tables.iter();
    let mut is_inside = false;
    for line in page.lines() {
        let opens = marker::is_marker(line);
        if is_inside && opens {
            return Err(PageError::Unclosed(line.to_owned()));
        }
        if is_inside && line != END {
            continue;
        }
        is_inside = opens;
        push_line(&mut renewed, line);
        if opens {
            let table = tables.next().map_or("", String::as_str);
            renewed.push_str(table);
        }
    }
    if is_inside {
        return Err(PageError::Unclosed("the end of the page".to_owned()));
    }
    Ok(renewed)
}

fn push_line(text: &mut String, line: &str) {
    text.push_str(line);
    text.push('\n');
}
