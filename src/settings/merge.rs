//! Merges a folder of TOML files in the order of their names.
//!
//! Tables are merged key by key at every depth. Any other value, arrays included, is
//! replaced by that of the later file. Each key records the file and line that set it.

use std::collections;

use smol_str::SmolStr;
use toml::Spanned;
use toml::de;

use super::problem;
use crate::codes;

/// Maximum nesting of tables and arrays in a file; the settings need four levels.
pub const MAX_DEPTH: usize = 8;

/// The texts of a folder's files by file name.
pub type Files = collections::BTreeMap<SmolStr, String>;

/// The keys of one table.
pub type Table = collections::BTreeMap<SmolStr, Node>;

/// Where a key was set.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Origin {
    /// The file's name.
    pub file: SmolStr,
    /// The line number, from 1.
    pub line: u32,
}

/// A value and where it was set.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// The last place that set the value or, for a table, opened it.
    pub origin: Origin,
    /// The value.
    pub value: Value,
}

/// A TOML value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A string.
    Text(SmolStr),
    /// An integer that fits in 64 bits.
    Integer(i64),
    /// A floating-point number.
    Float(f64),
    /// A boolean.
    Boolean(bool),
    /// A date or time; no settings key accepts one.
    Datetime(SmolStr),
    /// An array.
    Array(Vec<Node>),
    /// A table.
    Table(Table),
}

impl Value {
    /// Returns the name of the type with its article, for messages.
    pub const fn type_name(&self) -> &'static str {
        match self {
            Self::Text(_) => "a string",
            Self::Integer(_) => "an integer",
            Self::Float(_) => "a float",
            Self::Boolean(_) => "a boolean",
            Self::Datetime(_) => "a date or time",
            Self::Array(_) => "an array",
            Self::Table(_) => "a table",
        }
    }
}

/// A merged folder that is not validated yet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Merged {
    /// The top-level table.
    pub root: Table,
}

impl Merged {
    /// Returns the node at a path of keys.
    pub fn get(&self, path: &[&str]) -> Option<&Node> {
        let (last, parents) = path.split_last()?;
        let mut table = &self.root;
        for &key in parents {
            let Value::Table(inner) = &table.get(key)?.value else {
                return None;
            };
            table = inner;
        }
        table.get(*last)
    }
}

/// Merges all files; fails with one problem per file that is not valid TOML.
pub fn merge(files: &Files) -> Result<Merged, Vec<problem::Problem>> {
    let mut merged = Merged::default();
    let mut problems = Vec::new();
    for (name, text) in files {
        match parse(name, text) {
            Ok(table) => overlay(&mut merged.root, table),
            Err(problem) => problems.push(problem),
        }
    }
    if problems.is_empty() {
        Ok(merged)
    } else {
        Err(problems)
    }
}

/// Parses one file.
pub fn parse(name: &SmolStr, text: &str) -> Result<Table, problem::Problem> {
    let source = Source::new(name, text);
    match de::DeTable::parse(text) {
        Ok(table) => source.table(table.get_ref(), 1),
        Err(e) => {
            let at = e.span().map_or(0, |span| span.start);
            Err(source.problem(at, e.message().to_owned()))
        }
    }
}

/// Merges a later table into an earlier one.
fn overlay(base: &mut Table, overlay_table: Table) {
    for (key, node) in overlay_table {
        match base.get_mut(&key) {
            Some(Node {
                origin,
                value: Value::Table(inner),
            }) if matches!(node.value, Value::Table(_)) => {
                *origin = node.origin;
                if let Value::Table(later) = node.value {
                    overlay(inner, later);
                }
            }
            _ => {
                base.insert(key, node);
            }
        }
    }
}

/// Returns the dotted path of a key, quoted where TOML requires it.
pub fn join_path(parent: &str, key: &str) -> SmolStr {
    let bare = |b: u8| b.is_ascii_alphanumeric() || b == b'_' || b == b'-';
    let key = if !key.is_empty() && key.bytes().all(bare) {
        SmolStr::new(key)
    } else {
        SmolStr::from(quote(key))
    };
    if parent.is_empty() {
        key
    } else {
        smol_str::format_smolstr!("{parent}.{key}")
    }
}

/// Formats a text as a TOML string on one line.
pub fn quote(text: &str) -> String {
    let mut out = String::with_capacity(text.len() + 2);
    out.push('"');
    for c in text.chars() {
        match c {
            '"' | '\\' => out.extend(['\\', c]),
            '\n' => out.push_str("\\n"),
            '\r' => out.push_str("\\r"),
            '\t' => out.push_str("\\t"),
            c if c.is_control() => out.push_str(&escape(c)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

fn escape(c: char) -> String {
    format!("\\u{:04X}", u32::from(c))
}

/// A file being parsed, with the offsets of its line ends for [`Origin`]s.
struct Source<'a> {
    name: &'a SmolStr,
    line_ends: Vec<usize>,
}

impl<'a> Source<'a> {
    fn new(name: &'a SmolStr, text: &str) -> Self {
        let line_ends = text.match_indices('\n').map(|(at, _)| at).collect();
        Self { name, line_ends }
    }

    fn origin(&self, at: usize) -> Origin {
        let before = self.line_ends.partition_point(|&end| end < at);
        Origin {
            file: self.name.clone(),
            line: u32::try_from(before + 1).unwrap_or(u32::MAX),
        }
    }

    fn problem(&self, at: usize, reason: String) -> problem::Problem {
        let Origin { file, line } = self.origin(at);
        problem::Problem {
            file,
            line,
            key: SmolStr::default(),
            code: codes::Code::SettingsSyntax,
            reason,
        }
    }

    fn table(&self, table: &de::DeTable<'_>, depth: usize) -> Result<Table, problem::Problem> {
        let mut out = Table::new();
        for (key, value) in table {
            let at = key.span().start;
            let value = self.value(value, at, depth)?;
            let origin = self.origin(at);
            out.insert(SmolStr::new(key.get_ref()), Node { origin, value });
        }
        Ok(out)
    }

    fn array(&self, array: &de::DeArray<'_>, depth: usize) -> Result<Vec<Node>, problem::Problem> {
        let mut out = Vec::with_capacity(array.len());
        for value in array {
            let at = value.span().start;
            let origin = self.origin(at);
            let value = self.value(value, at, depth)?;
            out.push(Node { origin, value });
        }
        Ok(out)
    }

    fn value(
        &self,
        value: &Spanned<de::DeValue<'_>>,
        at: usize,
        depth: usize,
    ) -> Result<Value, problem::Problem> {
        if depth > MAX_DEPTH {
            return Err(self.problem(at, format!("nested deeper than {MAX_DEPTH}")));
        }
        Ok(match value.get_ref() {
            de::DeValue::String(text) => Value::Text(SmolStr::new(text)),
            de::DeValue::Integer(integer) => self.integer(integer, at)?,
            de::DeValue::Float(float) => self.float(float, at)?,
            de::DeValue::Boolean(flag) => Value::Boolean(*flag),
            de::DeValue::Datetime(time) => Value::Datetime(smol_str::format_smolstr!("{time}")),
            de::DeValue::Array(array) => Value::Array(self.array(array, depth + 1)?),
            de::DeValue::Table(table) => Value::Table(self.table(table, depth + 1)?),
        })
    }

    fn integer(&self, integer: &de::DeInteger<'_>, at: usize) -> Result<Value, problem::Problem> {
        i64::from_str_radix(integer.as_str(), integer.radix())
            .map(Value::Integer)
            .map_err(|e| self.problem(at, format!("integer out of bounds: {e}")))
    }

    fn float(&self, float: &de::DeFloat<'_>, at: usize) -> Result<Value, problem::Problem> {
        float
            .as_str()
            .parse()
            .map(Value::Float)
            .map_err(|e| self.problem(at, format!("not a float: {e}")))
    }
}
