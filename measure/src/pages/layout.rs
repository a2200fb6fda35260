//! Table layouts.

use std::collections;

use crate::pages::marker;
use crate::patterns;
use crate::report;

/// Presentation of the seeds in a table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Layout {
    /// One row per seed.
    Seeds,
    /// One row for all seeds: each cell shows `a / b / c`, or one figure if all seeds
    /// agree.
    Merged,
    /// Only the p99, with one column per seed.
    P99,
}

impl TryFrom<&str> for Layout {
    type Error = String;

    fn try_from(name: &str) -> Result<Self, Self::Error> {
        match name {
            "seeds" => Ok(Self::Seeds),
            "merged" => Ok(Self::Merged),
            "p99" => Ok(Self::P99),
            _ => Err(format!("unknown layout: {name}")),
        }
    }
}

/// Column of a table: its heading and the text of a cell.
#[derive(Clone, Copy, Debug)]
pub struct Column {
    heading: &'static str,
    cell: fn(&report::Figures) -> String,
}

const UNANSWERED: Column = Column {
    heading: "unanswered",
    cell: |figures| figures.unanswered.to_string(),
};

/// All columns by heading.
const ALL: &[Column] = &[
    Column {
        heading: "jobs",
        cell: |figures| figures.jobs.to_string(),
    },
    Column {
        heading: "complete",
        cell: |figures| figures.complete.to_string(),
    },
    Column {
        heading: "not run",
        cell: |figures| figures.not_run.to_string(),
    },
    Column {
        heading: "failed",
        cell: |figures| figures.failed.to_string(),
    },
    UNANSWERED,
    Column {
        heading: "p50",
        cell: |figures| format!("{:.2}", figures.ratio_p50),
    },
    Column {
        heading: "p99",
        cell: |figures| format!("{:.2}", figures.ratio_p99),
    },
    Column {
        heading: "over 2",
        cell: |figures| figures.over_twice.to_string(),
    },
    Column {
        heading: "work",
        cell: |figures| format!("{:.3}", figures.goodput),
    },
    Column {
        heading: "goodput",
        cell: |figures| format!("{:.3}", figures.goodput),
    },
    Column {
        heading: "useful",
        cell: |figures| format!("{:.3}", figures.useful),
    },
    Column {
        heading: "wasted/task",
        cell: |figures| format!("{:.3}", figures.wasted),
    },
    Column {
        heading: "wasted",
        cell: |figures| format!("{:.3}", figures.wasted),
    },
    Column {
        heading: "refusals/job",
        cell: |figures| format!("{:.2}", figures.refusals),
    },
    Column {
        heading: "untrue",
        cell: |figures| figures.false_not_run.to_string(),
    },
    Column {
        heading: "ejections",
        cell: |figures| figures.ejections.to_string(),
    },
];

/// Default columns of the layouts.
const SEEDS_COLUMNS: &[&str] = &[
    "jobs",
    "complete",
    "not run",
    "failed",
    "p50",
    "p99",
    "work",
    "useful",
    "wasted/task",
    "refusals/job",
    "untrue",
];
const MERGED_COLUMNS: &[&str] = &[
    "p99",
    "over 2",
    "failed",
    "not run",
    "goodput",
    "wasted",
    "ejections",
];

/// Returns the columns of a table. In a marker, `_` stands for a space in a heading.
pub fn columns(marker: &marker::Marker) -> Result<Vec<Column>, String> {
    let named: Vec<String> = marker
        .columns
        .iter()
        .map(|name| name.replace('_', " "))
        .collect();
    let own: Vec<&str> = named.iter().map(String::as_str).collect();
    let headings = match (own.is_empty(), marker.layout) {
        (false, _) => &own,
        (true, Layout::Seeds) => SEEDS_COLUMNS,
        (true, Layout::Merged) => MERGED_COLUMNS,
        (true, Layout::P99) => &["p99"],
    };
    let find = |heading: &&str| {
        let found = ALL.iter().find(|column| column.heading == *heading);
        found
            .copied()
            .ok_or_else(|| format!("unknown column: {heading}"))
    };
    headings.iter().map(find).collect()
}

/// Formats a table, with a newline after each line.
pub fn print(marker: &marker::Marker, seeds: &[Vec<patterns::Row>]) -> String {
    let columns = columns(marker).unwrap_or_default();
    match marker.layout {
        Layout::Seeds => by_seed(&columns, seeds),
        Layout::Merged => merged(columns, seeds),
        Layout::P99 => p99(&columns, seeds),
    }
}

fn by_seed(columns: &[Column], seeds: &[Vec<patterns::Row>]) -> String {
    let headings = columns.iter().map(|column| column.heading);
    let mut lines = header(["version", "seed"].into_iter().chain(headings));
    for (seed, rows) in (1..).zip(seeds) {
        for (name, figures) in rows {
            let cells = columns.iter().map(|column| (column.cell)(figures));
            let leading = [name.clone(), i32::to_string(&seed)];
            lines.push(line(leading.into_iter().chain(cells)));
        }
    }
    joined(&lines)
}

fn merged(mut columns: Vec<Column>, seeds: &[Vec<patterns::Row>]) -> String {
    let all = || seeds.iter().flatten();
    let has_unanswered = all().any(|(_, figures)| figures.unanswered > 0);
    if has_unanswered
        && columns
            .iter()
            .all(|column| column.heading != UNANSWERED.heading)
    {
        columns.push(UNANSWERED);
    }
    let headings = columns.iter().map(|column| column.heading);
    let mut lines = header(["version"].into_iter().chain(headings));
    for row in 0..rows(seeds) {
        let cells = columns.iter().map(|column| {
            let of_seed = |rows: &Vec<patterns::Row>| (column.cell)(&rows[row].1);
            merge(&seeds.iter().map(of_seed).collect::<Vec<_>>())
        });
        lines.push(line([seeds[0][row].0.clone()].into_iter().chain(cells)));
    }
    let violations: u64 = all()
        .map(|(_, figures)| figures.double_starts + figures.late_starts)
        .sum();
    lines.push(String::new());
    lines.push(format!(
        "Double and late starts, ours, all rows and seeds: {violations}."
    ));
    joined(&lines)
}

fn p99(columns: &[Column], seeds: &[Vec<patterns::Row>]) -> String {
    let numbers: Vec<String> = (1..=seeds.len()).map(|seed| seed.to_string()).collect();
    let headings = numbers.iter().map(String::as_str);
    let mut lines = header(["version"].into_iter().chain(headings));
    for row in 0..rows(seeds) {
        let of_seed = |rows: &Vec<patterns::Row>| (columns[0].cell)(&rows[row].1);
        let cells = seeds.iter().map(of_seed);
        lines.push(line([seeds[0][row].0.clone()].into_iter().chain(cells)));
    }
    joined(&lines)
}

fn rows(seeds: &[Vec<patterns::Row>]) -> usize {
    seeds.iter().map(Vec::len).min().unwrap_or(0)
}

/// Joins the cells of all seeds, or returns one if all are equal.
fn merge(cells: &[String]) -> String {
    let distinct: collections::BTreeSet<&String> = cells.iter().collect();
    match distinct.len() {
        1 => cells[0].clone(),
        _ => cells.join(" / "),
    }
}

fn header<'a>(headings: impl Iterator<Item = &'a str>) -> Vec<String> {
    let headings: Vec<String> = headings.map(str::to_owned).collect();
    let rule = vec!["---".to_owned(); headings.len()];
    vec![line(headings.into_iter()), line(rule.into_iter())]
}

fn line(cells: impl Iterator<Item = String>) -> String {
    let cells: Vec<String> = cells.collect();
    format!("| {} |", cells.join(" | "))
}

fn joined(lines: &[String]) -> String {
    lines.join("\n") + "\n"
}
