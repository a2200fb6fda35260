//! Adaptive time-out for calls to the backend server.
//!
//! A backend server may leave a few calls in a hundred unanswered. Waiting too long for the
//! answer to a start makes the job late. Waiting too long for a listing hides ended runs, so
//! that free capacity stays idle while orders wait. No fixed time-out fits both this and an
//! instance that is slow for a while, so the time-out follows recent response times, as a
//! retransmission timer does.

/// Shortest time-out, in milliseconds: a backend server answers within a millisecond, and a busy
/// instance may read the answer some milliseconds later.
const MIN_TIMEOUT_MS: u64 = 20;

/// Longest time-out, in milliseconds: well below the silence after which the backend server
/// counts as unreachable.
const MAX_TIMEOUT_MS: u64 = 200;

/// Ratio of the time-out to the slowest recent response.
const SLOWEST_FACTOR: u64 = 4;

/// Each faster response reduces the slowest response time by one part in this many.
const DECAY_DIVISOR: u64 = 8;

/// Number of time-outs in a row that each double the next time-out.
const MAX_DOUBLINGS: u32 = 4;

/// Time-out derived from recent response times.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallTimeout {
    slowest_ms: u64,
    /// Number of calls in a row that timed out.
    timed_out: u32,
}

impl CallTimeout {
    /// Records the response time of an answered call.
    pub fn record_response(&mut self, elapsed_ms: u64) {
        let decayed_ms = self.slowest_ms - self.slowest_ms.div_ceil(DECAY_DIVISOR);
        self.slowest_ms = decayed_ms.max(elapsed_ms);
        self.timed_out = 0;
    }

    /// Records a call that timed out.
    ///
    /// The time-out then grows; otherwise no answer of an instance that has become slow would
    /// arrive in time, and its response time would remain unknown.
    pub fn record_timeout(&mut self) {
        self.timed_out = (self.timed_out + 1).min(MAX_DOUBLINGS);
    }

    /// Returns the time-out of the next call, in milliseconds.
    pub fn timeout_ms(&self) -> u64 {
        let usual_ms = (SLOWEST_FACTOR * self.slowest_ms).max(MIN_TIMEOUT_MS);
        (usual_ms << self.timed_out).min(MAX_TIMEOUT_MS)
    }
}
