//! Renews the tables of measurement pages in place.
//!
//! Each table of a page stands between a line `<!-- table PATTERN [--site S] [--load L]
//! [--layout L] [--columns A,B] -->` and a line `<!-- end -->`. All other lines are
//! left unchanged.

mod layout;
mod marker;

pub use layout::Layout;
pub use marker::Marker;
pub use marker::PageError;

use crate::runs;

/// Line after a table.
const TABLE_END: &str = "<!-- end -->";

/// Seeds of each table.
pub const SEEDS: [u64; 3] = [1, 2, 3];

/// Parses the table markers of a page, in order.
pub fn markers(page: &str) -> Result<Vec<Marker>, PageError> {
    page.lines().filter_map(marker::parse).collect()
}

/// Returns the page with all tables measured again.
pub fn renew(page: &str) -> Result<String, PageError> {
    let tables = markers(page)?;
    let runs: Vec<runs::Run> = tables.iter().flat_map(runs_of).collect();
    let done = runs::run_all(&runs);
    let done = done.chunks(SEEDS.len()).zip(&tables);
    let printed: Vec<String> = done
        .map(|(seeds, table)| layout::print(table, seeds))
        .collect();
    replace(page, &printed)
}

fn runs_of(table: &Marker) -> [runs::Run; SEEDS.len()] {
    SEEDS.map(|seed| runs::Run {
        pattern: table.run,
        site: table.site.clone(),
        load: table.load,
        seed,
    })
}

/// Returns the page with its tables replaced by the given ones, in order.
pub fn replace(page: &str, tables: &[String]) -> Result<String, PageError> {
    let mut renewed = String::with_capacity(page.len());
    let mut tables = tables.iter();
    let mut is_inside = false;
    for line in page.lines() {
        let opens = marker::is_marker(line);
        if is_inside && opens {
            return Err(PageError::Unclosed(line.to_owned()));
        }
        if is_inside && line != TABLE_END {
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
