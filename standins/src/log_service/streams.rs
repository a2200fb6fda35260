//! Records of the log service and their retention, without network and clock.

use std::collections;

use serde::Serialize;

/// Retention of each stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Retention {
    /// Maximum number of records; `None` for no limit.
    pub records: Option<usize>,
    /// Maximum age of a record, in milliseconds; `None` for no limit.
    pub age_ms: Option<u64>,
}

/// Result of a read.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Page {
    /// Offset of the oldest record kept.
    pub first: u64,
    /// Offset of the next append.
    pub next: u64,
    /// Records found, in order of offset.
    pub records: Vec<Entry>,
}

/// One record with its offset.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Entry {
    /// Offset in the stream.
    pub offset: u64,
    /// Document as it was appended.
    pub record: serde_json::Value,
}

#[derive(Debug, Default)]
struct Stream {
    first: u64,
    records: collections::VecDeque<(u64, serde_json::Value)>,
}

impl Stream {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn drop_oldest(&mut self) {
        self.records.pop_front();
        self.first += 1;
    }

    fn expire(&mut self, retention: Retention, now_ms: u64) {
        let max_records = retention.records.unwrap_or(usize::MAX);
        while self.records.len() > max_records {
            self.drop_oldest();
        }
        let Some(age_ms) = retention.age_ms else {
            return;
        };
        while let Some((at_ms, _)) = self.records.front()
            && at_ms + age_ms < now_ms
        {
            self.drop_oldest();
        }
    }
}

/// All streams by name. Times are in milliseconds of one monotonic clock.
#[derive(Debug, Default)]
pub struct Streams {
    retention: Retention,
    streams: collections::BTreeMap<String, Stream>,
}

impl Streams {
    /// Creates an empty set of streams with one retention for all.
    pub const fn new(retention: Retention) -> Self {
        Self {
            retention,
            streams: collections::BTreeMap::new(),
        }
    }

    /// Appends a record and returns its offset.
    pub fn append(&mut self, name: &str, record: serde_json::Value, now_ms: u64) -> u64 {
        let stream = self.streams.entry(name.to_owned()).or_default();
        let offset = stream.next();
        stream.records.push_back((now_ms, record));
        stream.expire(self.retention, now_ms);
        offset
    }

    /// Reads up to `max` records at or after `from`.
    pub fn read(&mut self, name: &str, from: u64, max: usize, now_ms: u64) -> Page {
        let Some(stream) = self.streams.get_mut(name) else {
            return Page {
                first: 0,
                next: 0,
                records: Vec::new(),
            };
        };
        stream.expire(self.retention, now_ms);
        let start = from.max(stream.first);
        let skipped = usize::try_from(start - stream.first).unwrap_or(usize::MAX);
        let found = stream.records.iter().skip(skipped).take(max);
        let entry = |(offset, (_, record)): (u64, &(u64, serde_json::Value))| Entry {
            offset,
            record: record.clone(),
        };
        Page {
            first: stream.first,
            next: stream.next(),
            records: (start..).zip(found).map(entry).collect(),
        }
    }

    /// Removes the records below `offset`; stops at the end of the stream.
    pub fn expire_to(&mut self, name: &str, offset: u64) {
        let Some(stream) = self.streams.get_mut(name) else {
            return;
        };
        while stream.first < offset && !stream.records.is_empty() {
            stream.drop_oldest();
        }
    }
}
