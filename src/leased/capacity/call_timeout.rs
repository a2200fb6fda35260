//! How long the backend server's answers are waited for.
//!
//! Load that this answers: a backend server that leaves a few calls in a hundred without an
//! answer. A start that is waited for in vain makes its job late, and while the question
//! what runs is, the runner hears of no end: room that came free stands empty and all that
//! is ordered waits. A fixed limit is too long for that, or too short for an instance that
//! is slow for a while; so it follows the answers that came, as a retransmission timer does.

/// Shortest limit, in milliseconds: a backend server answers within a millisecond, and a
/// busy instance reads the answer some milliseconds later.
const LEAST_MS: u64 = 20;

/// Longest limit, in milliseconds: well below the silence that makes it `Unreachable`.
const MOST_MS: u64 = 200;

/// How many times the slowest answer of late a call may take.
const FACTOR: u64 = 4;

/// Part of the slowest answer that each faster one takes off it, as a divisor.
const DECAY: u64 = 8;

/// Most limits in a row that are doubled.
const MOST_DOUBLED: u32 = 4;

/// The answers that came of late.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallTimeout {
    slowest_ms: u64,
    /// Calls in a row without an answer.
    missed: u32,
}

impl CallTimeout {
    /// A call was answered after so many milliseconds.
    pub fn record_response(&mut self, took_ms: u64) {
        let faded_ms = self.slowest_ms - self.slowest_ms.div_ceil(DECAY);
        self.slowest_ms = faded_ms.max(took_ms);
        self.missed = 0;
    }

    /// A call had no answer within its limit.
    ///
    /// The limits grow, or an instance that has turned slow would never hear an answer that
    /// could tell it so.
    pub fn record_timeout(&mut self) {
        self.missed = (self.missed + 1).min(MOST_DOUBLED);
    }

    /// How long the next call's answer is waited for, in milliseconds.
    pub fn timeout_ms(&self) -> u64 {
        let usual_ms = (FACTOR * self.slowest_ms).max(LEAST_MS);
        (usual_ms << self.missed).min(MOST_MS)
    }
}
