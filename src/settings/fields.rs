//! Reads the keys of one table by type and range, and rejects unknown keys.

use std::fmt;
use std::ops;

use smol_str::SmolStr;

use super::merge;
use super::problem;
use crate::codes;

/// Problems found so far.
#[derive(Debug, Default)]
pub(super) struct Findings {
    pub(super) problems: Vec<problem::Problem>,
}

impl Findings {
    pub(super) fn add(
        &mut self,
        code: codes::Code,
        origin: &merge::Origin,
        key: impl Into<SmolStr>,
        reason: String,
    ) {
        self.problems.push(problem::Problem {
            file: origin.file.clone(),
            line: origin.line,
            key: key.into(),
            code,
            reason,
        });
    }

    pub(super) fn wrong_type(&mut self, node: &merge::Node, key: &str, expected: &str) {
        let found = node.value.type_name();
        let reason = format!("`{key}` must be {expected}, not {found}");
        self.add(codes::Code::SettingsWrongType, &node.origin, key, reason);
    }

    pub(super) fn impossible(
        &mut self,
        origin: &merge::Origin,
        key: &str,
        detail: impl fmt::Display,
    ) {
        let reason = format!("`{key}` {detail}");
        self.add(codes::Code::SettingsImpossible, origin, key, reason);
    }

    /// Returns the table at `node`; if it is not a table, records a problem.
    pub(super) fn table<'a>(
        &mut self,
        node: &'a merge::Node,
        key: &str,
    ) -> Option<&'a merge::Table> {
        if let merge::Value::Table(table) = &node.value {
            return Some(table);
        }
        self.wrong_type(node, key, "a table");
        None
    }
}

/// Reader of one table with a fixed set of keys.
pub(super) struct Fields<'a> {
    table: &'a merge::Table,
    path: SmolStr,
    known: Vec<&'static str>,
    findings: &'a mut Findings,
}

impl<'a> Fields<'a> {
    pub(super) fn new(table: &'a merge::Table, path: SmolStr, findings: &'a mut Findings) -> Self {
        Self {
            table,
            path,
            known: Vec::new(),
            findings,
        }
    }

    /// Reads an integer into `field`, which keeps its default if the key is absent or invalid.
    pub(super) fn integer(
        &mut self,
        key: &'static str,
        field: &mut u32,
        range: &ops::RangeInclusive<u32>,
    ) {
        let Some((node, path)) = self.find(key) else {
            return;
        };
        let merge::Value::Integer(number) = node.value else {
            self.findings.wrong_type(node, &path, "an integer");
            return;
        };
        match u32::try_from(number) {
            Ok(number) if range.contains(&number) => *field = number,
            _ => self.out_of_range(node, &path, number, range),
        }
    }

    /// Reads a ratio into `field`, which keeps its default if the key is absent or invalid.
    pub(super) fn ratio(
        &mut self,
        key: &'static str,
        field: &mut f64,
        range: &ops::RangeInclusive<f64>,
    ) {
        let Some((node, path)) = self.find(key) else {
            return;
        };
        let number = match node.value {
            merge::Value::Float(number) => number,
            merge::Value::Integer(number) => number as f64,
            _ => {
                self.findings.wrong_type(node, &path, "a number");
                return;
            }
        };
        if range.contains(&number) {
            *field = number;
        } else {
            self.out_of_range(node, &path, number, range);
        }
    }

    /// Reads a boolean into `field`, which keeps its default if the key is absent or invalid.
    pub(super) fn flag(&mut self, key: &'static str, field: &mut bool) {
        let Some((node, path)) = self.find(key) else {
            return;
        };
        if let merge::Value::Boolean(flag) = node.value {
            *field = flag;
        } else {
            self.findings.wrong_type(node, &path, "a boolean");
        }
    }

    /// Reads an array of strings; items of another type are recorded as problems.
    pub(super) fn texts(&mut self, key: &'static str) -> Vec<SmolStr> {
        let Some((node, path)) = self.find(key) else {
            return Vec::new();
        };
        let merge::Value::Array(items) = &node.value else {
            self.findings.wrong_type(node, &path, "an array of strings");
            return Vec::new();
        };
        let mut texts = Vec::with_capacity(items.len());
        for item in items {
            if let merge::Value::Text(text) = &item.value {
                texts.push(text.clone());
            } else {
                self.findings.wrong_type(item, &path, "an array of strings");
            }
        }
        texts
    }

    /// Records a problem for every key that was not read.
    pub(super) fn reject_unknown(self) {
        for (key, node) in self.table {
            if !self.known.contains(&key.as_str()) {
                let path = merge::join_path(&self.path, key);
                let reason = format!("`{path}` is not a known key");
                let code = codes::Code::SettingsUnknownKey;
                self.findings.add(code, &node.origin, path, reason);
            }
        }
    }

    fn find(&mut self, key: &'static str) -> Option<(&'a merge::Node, SmolStr)> {
        self.known.push(key);
        let node = self.table.get(key)?;
        Some((node, merge::join_path(&self.path, key)))
    }

    fn out_of_range<N: fmt::Display>(
        &mut self,
        node: &merge::Node,
        path: &str,
        number: impl fmt::Display,
        range: &ops::RangeInclusive<N>,
    ) {
        let (low, high) = (range.start(), range.end());
        let detail = format!("is {number}; it must be from {low} to {high}");
        self.findings.impossible(&node.origin, path, detail);
    }
}
