//! The queues that operators configure: who is served, by which backend servers, how fast.

use std::collections;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// One queue.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Queue {
    /// Its name.
    pub name: SmolStr,
    /// The host that callers name.
    pub host: SmolStr,
    /// What the path begins with; the job's id follows.
    pub prefix: SmolStr,
    /// Which backend servers run its tasks.
    pub service: SmolStr,
    /// Longest time for an answer where the caller names none, in milliseconds.
    pub timeout_ms: u64,
    /// Time that a caller grants beyond the work itself, in milliseconds.
    pub target_ms: u64,
    /// How many times the work's own time a caller grants.
    pub stretch: f64,
    /// Runs of one task that may end as failed.
    pub max_attempts: u32,
    /// Which queue goes first; 0 before 1.
    pub priority: u32,
    /// Whether another service has to name the backend servers allowed for each step.
    pub needs_advice: bool,
}

/// Bounds on what a caller sends.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Bounds {
    /// Largest body, in bytes.
    pub body_bytes: usize,
}

/// Bodies of at most 256 KiB, as long as operators say nothing else.
const DEFAULT_BODY_BYTES: usize = 256 << 10;

impl Default for Bounds {
    fn default() -> Self {
        Self {
            body_bytes: DEFAULT_BODY_BYTES,
        }
    }
}

/// All queues of one configuration, ready for looking up.
#[derive(Clone, Debug, Default)]
pub struct Queues {
    by_host: collections::HashMap<SmolStr, Prefixes>,
    /// The priorities of each service's queues.
    priorities: collections::HashMap<SmolStr, collections::BTreeSet<u32>>,
    /// Bounds on what a caller sends.
    pub bounds: Bounds,
}

impl Queues {
    /// Sorts the queues for looking up.
    pub fn new(queues: &[Queue], bounds: Bounds) -> Self {
        let mut by_host: collections::HashMap<SmolStr, Prefixes> = collections::HashMap::new();
        let mut priorities: collections::HashMap<SmolStr, collections::BTreeSet<u32>> =
            collections::HashMap::new();
        for queue in queues {
            by_host
                .entry(queue.host.clone())
                .or_default()
                .add(queue.clone());
            priorities
                .entry(queue.service.clone())
                .or_default()
                .insert(queue.priority);
        }
        Self {
            by_host,
            priorities,
            bounds,
        }
    }

    /// How many priorities of the same service's queues go before this queue's.
    ///
    /// Operators number as they like; what counts is who goes before whom.
    pub fn precedence(&self, queue: &Queue) -> u8 {
        let Some(priorities) = self.priorities.get(&queue.service) else {
            return 0;
        };
        let before = priorities.range(..queue.priority).count();
        u8::try_from(before).unwrap_or(u8::MAX)
    }

    /// The queue with the longest prefix of the path, and the rest of the path.
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        self.by_host.get(host)?.find(path)
    }
}

/// The queues of one host. Looking one up takes as long as there are lengths of prefixes,
/// however many queues there are.
#[derive(Clone, Debug, Default)]
struct Prefixes {
    by_prefix: collections::HashMap<SmolStr, Queue>,
    lengths: collections::BTreeSet<usize>,
}

impl Prefixes {
    /// Adds a queue; of two with the same prefix the first one counts.
    fn add(&mut self, queue: Queue) {
        self.lengths.insert(queue.prefix.len());
        self.by_prefix.entry(queue.prefix.clone()).or_insert(queue);
    }

    fn find<'a>(&self, path: &'a str) -> Option<(&Queue, &'a str)> {
        self.lengths.iter().rev().find_map(|&length| {
            let (prefix, rest) = path.split_at_checked(length)?;
            Some((self.by_prefix.get(prefix)?, rest))
        })
    }
}
