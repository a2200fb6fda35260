//! Service state of a runner: in service, ejected or probed.

/// Maximum number of doublings of the ejection time: 5 s grow to at most 320 s.
const MAX_DOUBLINGS: u32 = 6;

/// Concurrent tasks at which a probed runner is in service again: the number of its slots.
const FULL_SERVICE_TASKS: u32 = 8;

/// Time for which the first probe waits for a task with time to spare, milliseconds.
const FIRST_PROBE_WAIT_MS: u64 = 1_000;

/// Service state of a runner at one entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It gets tasks like any other.
    InService {
        /// Ejections so far, for the length of the next one.
        ejections: u32,
        /// When it returned to service, monotonic milliseconds.
        since_ms: u64,
    },
    /// It gets no tasks until the ejection ends, and is then probed.
    Ejected(Ejected),
    /// It gets a few tasks at a time, twice as many after each success.
    Probing(Probing),
}

/// State of an ejected runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ejected {
    /// When the runner was ejected, monotonic milliseconds.
    pub since_ms: u64,
    /// When probing begins, monotonic milliseconds.
    pub until_ms: u64,
    /// Ejections so far.
    pub ejections: u32,
}

/// State of a probed runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Probing {
    /// Maximum number of concurrent tasks.
    pub max_tasks: u32,
    /// Whether a probe failed.
    pub is_failed: bool,
    /// Ejections so far.
    pub ejections: u32,
}

impl Default for State {
    fn default() -> Self {
        Self::InService {
            ejections: 0,
            since_ms: 0,
        }
    }
}

impl Ejected {
    const fn start_probing(self) -> Probing {
        Probing {
            max_tasks: 1,
            is_failed: false,
            ejections: self.ejections,
        }
    }
}

impl Probing {
    const fn after_success(self, now_ms: u64) -> State {
        let max_tasks = self.max_tasks * 2;
        if max_tasks >= FULL_SERVICE_TASKS {
            return State::InService {
                ejections: self.ejections,
                since_ms: now_ms,
            };
        }
        State::Probing(Self { max_tasks, ..self })
    }

    const fn after_failure(self) -> State {
        State::Probing(Self {
            is_failed: true,
            ..self
        })
    }
}

impl State {
    /// Returns whether the runner gets no tasks now.
    pub const fn is_ejected(&self, now_ms: u64) -> bool {
        matches!(self, Self::Ejected(ejected) if ejected.until_ms > now_ms)
    }

    /// Returns whether only tasks with time to spare are to be sent: the first probe is
    /// likely to find the server as bad as it was.
    pub const fn is_first_probe(&self, now_ms: u64) -> bool {
        matches!(self, Self::Ejected(ejected) if ejected.until_ms + FIRST_PROBE_WAIT_MS > now_ms)
    }

    /// Returns whether a task sent at `sent_ms` was sent before probing began, and so before
    /// the runner was ejected.
    pub const fn is_sent_before(&self, sent_ms: u64) -> bool {
        matches!(self, Self::Ejected(ejected) if sent_ms < ejected.until_ms)
    }

    /// Returns whether the runner is in service without limit.
    pub const fn is_in_service(&self) -> bool {
        matches!(self, Self::InService { .. })
    }

    /// Maximum number of concurrent tasks; `None` for no limit by health.
    pub const fn max_tasks(&self, now_ms: u64) -> Option<u32> {
        match self {
            Self::InService { .. } => None,
            Self::Ejected(_) if self.is_ejected(now_ms) => Some(0),
            Self::Ejected(ejected) => Some(ejected.start_probing().max_tasks),
            Self::Probing(probing) => Some(probing.max_tasks),
        }
    }

    /// Records the result of a task, which counts as a probe if the runner is being probed.
    ///
    /// A task that ends during the ejection was sent before it and is no probe.
    pub const fn record_probe(&mut self, now_ms: u64, is_success: bool) {
        let probing = match *self {
            Self::InService { .. } => return,
            Self::Ejected(_) if self.is_ejected(now_ms) => return,
            Self::Ejected(ejected) => ejected.start_probing(),
            Self::Probing(probing) => probing,
        };
        *self = if is_success {
            probing.after_success(now_ms)
        } else {
            probing.after_failure()
        };
    }

    /// Returns whether a probe failed.
    pub const fn is_probe_failed(&self) -> bool {
        matches!(self, Self::Probing(probing) if probing.is_failed)
    }

    /// Ejects the runner, each time for twice as long as before.
    ///
    /// The count starts over if the runner was in service for ten times the first length.
    pub const fn eject(&mut self, now_ms: u64, eject_ms: u64) {
        let ejections = match *self {
            Self::InService {
                ejections,
                since_ms,
            } => {
                let is_long_ago = now_ms > since_ms + eject_ms * 10;
                if is_long_ago { 0 } else { ejections }
            }
            Self::Ejected(ejected) => ejected.ejections,
            Self::Probing(probing) => probing.ejections,
        };
        let doublings = if ejections < MAX_DOUBLINGS {
            ejections
        } else {
            MAX_DOUBLINGS
        };
        *self = Self::Ejected(Ejected {
            since_ms: now_ms,
            until_ms: now_ms + (eject_ms << doublings),
            ejections: ejections + 1,
        });
    }

    /// Ends an ejection, so that probing begins.
    ///
    /// Returns whether the runner was ejected.
    pub const fn end_ejection(&mut self, now_ms: u64) -> bool {
        let Self::Ejected(ejected) = self else {
            return false;
        };
        if ejected.until_ms <= now_ms {
            return false;
        }
        ejected.until_ms = now_ms;
        true
    }

    /// Returns when the runner was ejected, if it gets no tasks now.
    pub const fn ejected_since_ms(&self, now_ms: u64) -> Option<u64> {
        match self {
            Self::Ejected(ejected) if ejected.until_ms > now_ms => Some(ejected.since_ms),
            _ => None,
        }
    }

    /// Name of the state in `/status`; `None` in service.
    pub const fn label(&self, now_ms: u64) -> Option<&'static str> {
        match self {
            Self::InService { .. } => None,
            Self::Ejected(_) if self.is_ejected(now_ms) => Some("ejected"),
            Self::Ejected(_) | Self::Probing(_) => Some("probing"),
        }
    }
}
