//! How a table is printed.

use std::collections;

use crate::pages::marker;
use crate::patterns;
use crate::report;

/// Which way a table shows its seeds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Layout {
    /// A row for each seed.
    Seeds,
    /// One row, and in each cell `a / b / c`, or one figure where all seeds agree.
    Merged,
    /// Only the p99, a column for each seed.
    P99,
}

impl TryFrom<&str> for Layout {
    type Error = String;

    fn try_from(name: &str) -> Result<Self, Self::Error> {
        match name {
            "seeds" => Ok(Self::Seeds),
            "merged" => Ok(Self::Merged),
            "p99" => Ok(Self::P99),
            _ => Err(format!("no such layout, {name}")),
        }
    }
}

/// A column: its head and what stands in a cell.
#[derive(Clone, Copy, Debug)]
pub struct Column {
    head: &'static str,
    cell: fn(&report::Figures) -> String,
}

const UNANSWERED: Column = Column {
    head: "unanswered",
    cell: |of| of.unanswered.to_string(),
};

/// All columns, by their heads.
const ALL: &[Column] = &[
    Column {
        head: "jobs",
        cell: |of| of.jobs.to_string(),
    },
    Column {
        head: "complete",
        cell: |of| of.complete.to_string(),
    },
    Column {
        head: "not run",
        cell: |of| of.not_run.to_string(),
    },
    Column {
        head: "failed",
        cell: |of| of.failed.to_string(),
    },
    UNANSWERED,
    Column {
        head: "p50",
        cell: |of| format!("{:.2}", of.ratio_p50),
    },
    Column {
        head: "p99",
        cell: |of| format!("{:.2}", of.ratio_p99),
    },
    Column {
        head: "over 2",
        cell: |of| of.over_twice.to_string(),
    },
    Column {
        head: "work",
        cell: |of| format!("{:.3}", of.goodput),
    },
    Column {
        head: "goodput",
        cell: |of| format!("{:.3}", of.goodput),
    },
    Column {
        head: "useful",
        cell: |of| format!("{:.3}", of.useful),
    },
    Column {
        head: "wasted/task",
        cell: |of| format!("{:.3}", of.wasted),
    },
    Column {
        head: "wasted",
        cell: |of| format!("{:.3}", of.wasted),
    },
    Column {
        head: "refusals/job",
        cell: |of| format!("{:.2}", of.refusals),
    },
    Column {
        head: "untrue",
        cell: |of| of.untrue.to_string(),
    },
    Column {
        head: "ejections",
        cell: |of| of.ejections.to_string(),
    },
];

/// Columns where the marker names none.
const OF_SEEDS: &[&str] = &[
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
const OF_MERGED: &[&str] = &[
    "p99",
    "over 2",
    "failed",
    "not run",
    "goodput",
    "wasted",
    "ejections",
];

/// The columns of a table. In a marker `_` stands for the blank of a head.
pub fn columns(marker: &marker::Marker) -> Result<Vec<Column>, String> {
    let named: Vec<String> = marker
        .columns
        .iter()
        .map(|name| name.replace('_', " "))
        .collect();
    let own: Vec<&str> = named.iter().map(String::as_str).collect();
    let heads = match (own.is_empty(), marker.layout) {
        (false, _) => &own,
        (true, Layout::Seeds) => OF_SEEDS,
        (true, Layout::Merged) => OF_MERGED,
        (true, Layout::P99) => &["p99"],
    };
    let find = |head: &&str| {
        let found = ALL.iter().find(|column| column.head == *head);
        found
            .copied()
            .ok_or_else(|| format!("no such column, {head}"))
    };
    heads.iter().map(find).collect()
}

/// Prints a table, each line ended.
pub fn print(marker: &marker::Marker, seeds: &[Vec<patterns::Row>]) -> String {
    let columns = columns(marker).unwrap_or_default();
    match marker.layout {
        Layout::Seeds => by_seed(&columns, seeds),
        Layout::Merged => merged(columns, seeds),
        Layout::P99 => p99(&columns, seeds),
    }
}

fn by_seed(columns: &[Column], seeds: &[Vec<patterns::Row>]) -> String {
    let heads = columns.iter().map(|column| column.head);
    let mut lines = head(["version", "seed"].into_iter().chain(heads));
    for (seed, rows) in (1..).zip(seeds) {
        for (name, figures) in rows {
            let cells = columns.iter().map(|column| (column.cell)(figures));
            let begin = [name.clone(), i32::to_string(&seed)];
            lines.push(line(begin.into_iter().chain(cells)));
        }
    }
    joined(&lines)
}

fn merged(mut columns: Vec<Column>, seeds: &[Vec<patterns::Row>]) -> String {
    let all = || seeds.iter().flatten();
    let has_unanswered = all().any(|(_, figures)| figures.unanswered > 0);
    if has_unanswered && columns.iter().all(|column| column.head != UNANSWERED.head) {
        columns.push(UNANSWERED);
    }
    let heads = columns.iter().map(|column| column.head);
    let mut lines = head(["version"].into_iter().chain(heads));
    for row in 0..rows(seeds) {
        let cells = columns.iter().map(|column| {
            let of_seed = |rows: &Vec<patterns::Row>| (column.cell)(&rows[row].1);
            merge(&seeds.iter().map(of_seed).collect::<Vec<_>>())
        });
        lines.push(line([seeds[0][row].0.clone()].into_iter().chain(cells)));
    }
    let broken: u64 = all()
        .map(|(_, figures)| figures.double_starts + figures.late_starts)
        .sum();
    lines.push(String::new());
    lines.push(format!(
        "Double and late starts, ours, all rows and seeds: {broken}."
    ));
    joined(&lines)
}

fn p99(columns: &[Column], seeds: &[Vec<patterns::Row>]) -> String {
    let numbers: Vec<String> = (1..=seeds.len()).map(|seed| seed.to_string()).collect();
    let heads = numbers.iter().map(String::as_str);
    let mut lines = head(["version"].into_iter().chain(heads));
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

/// One figure where all are the same.
fn merge(cells: &[String]) -> String {
    let distinct: collections::BTreeSet<&String> = cells.iter().collect();
    match distinct.len() {
        1 => cells[0].clone(),
        _ => cells.join(" / "),
    }
}

fn head<'a>(heads: impl Iterator<Item = &'a str>) -> Vec<String> {
    let heads: Vec<String> = heads.map(str::to_owned).collect();
    let rule = vec!["---".to_owned(); heads.len()];
    vec![line(heads.into_iter()), line(rule.into_iter())]
}

fn line(cells: impl Iterator<Item = String>) -> String {
    let cells: Vec<String> = cells.collect();
    format!("| {} |", cells.join(" | "))
}

fn joined(lines: &[String]) -> String {
    lines.join("\n") + "\n"
}
