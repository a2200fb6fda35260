//! Queues configured by operators: which callers they serve, at which backend servers, how fast.

use std::collections;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Configured queue.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Queue {
    /// Name of the queue.
    pub name: SmolStr,
    /// Host to which callers send their requests.
    pub host: SmolStr,
    /// Prefix of the request path, before the job's id.
    pub prefix: SmolStr,
    /// Service whose backend servers run the tasks.
    pub service: SmolStr,
    /// Time limit for a job whose caller gives none, in milliseconds.
    pub timeout_ms: u64,
    /// Time allowed for a job beyond the multiple of its own run time, in milliseconds.
    pub target_ms: u64,
    /// Multiple of a job's own run time that is allowed for it.
    pub stretch: f64,
    /// Number of failed runs of one task after which the job fails.
    pub max_attempts: u32,
    /// Priority among the queues of the service; 0 comes first.
    pub priority: u32,
    /// Whether another service has to name the permitted backend servers for each step.
    pub needs_advice: bool,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Bounds {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
}

/// Maximum size of a request body unless operators configure another one, in bytes.
const DEFAULT_BODY_BYTES: usize = 256 << 10;

impl Default for Bounds {
    fn default() -> Self {
        Self {
            body_bytes: DEFAULT_BODY_BYTES,
        }
    }
}

/// Index of the queues of one configuration.
#[derive(Clone, Debug, Default)]
pub struct Queues {
    by_host: collections::HashMap<SmolStr, Prefixes>,
    /// Distinct priorities of the queues, by service.
    priorities: collections::HashMap<SmolStr, collections::BTreeSet<u32>>,
    /// Limits on callers' requests.
    pub bounds: Bounds,
}

impl Queues {
    /// Builds the index.
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

    /// Returns the number of distinct priorities of the service's queues that come before this one.
    ///
    /// Operators number priorities freely, so only their order counts.
    pub fn precedence(&self, queue: &Queue) -> u8 {
        let Some(priorities) = self.priorities.get(&queue.service) else {
            return 0;
        };
        let before = priorities.range(..queue.priority).count();
        u8::try_from(before).unwrap_or(u8::MAX)
    }

    /// Returns the queue with the longest matching prefix, and the rest of the path.
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        self.by_host.get(host)?.find(path)
    }
}

/// Queues of one host.
///
/// A lookup takes one step for each distinct prefix length, however many queues there are.
#[derive(Clone, Debug, Default)]
struct Prefixes {
    by_prefix: collections::HashMap<SmolStr, Queue>,
    lengths: collections::BTreeSet<usize>,
}

impl Prefixes {
    /// Adds a queue; of two queues with the same prefix, the first one stays.
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
