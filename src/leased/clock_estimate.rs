//! An estimate of another process's clock that is not ahead of it, as far as its readings show.

/// Largest rate error of a clock, in percent, as bounded by the platform.
const MAX_SLOWNESS_PERCENT: u64 = 2;

/// A reading of another process's clock that came with the answer to a call.
///
/// It was taken between the sending of the call and the receipt of its answer.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    /// The reading, in milliseconds on the other clock.
    pub clock_ms: u64,
    /// When the call was sent, at the latest, in milliseconds on the clock of this process; 0 if
    /// that is not known.
    pub sent_at_ms: u64,
    /// When the answer was received, in milliseconds on the clock of this process.
    pub received_at_ms: u64,
}

impl Reading {
    /// Returns the latest time that the clock can show at the receipt, even if it runs as fast as
    /// allowed.
    const fn latest_ms(&self) -> u64 {
        let elapsed_ms = self.received_at_ms.saturating_sub(self.sent_at_ms);
        self.clock_ms
            .saturating_add(elapsed_ms)
            .saturating_add(rate_error_ms(elapsed_ms))
    }
}

/// Best reading of another process's clock.
#[derive(Clone, Copy, Debug)]
pub struct ClockEstimate {
    reading_ms: u64,
    /// When the reading was received, on the clock of this process.
    received_at_ms: u64,
}

impl ClockEstimate {
    /// Creates an estimate from the first reading.
    pub const fn new(reading: &Reading) -> Self {
        Self {
            reading_ms: reading.clock_ms,
            received_at_ms: reading.received_at_ms,
        }
    }

    /// Records a reading, unless an earlier one and the time since show that the clock is past it.
    ///
    /// A reading that waited in a socket of this process while it was suspended is older than its
    /// receipt. Taken as one of now, it would set the estimate back by the time of the suspension.
    /// An estimate beyond what the clock can show by now is ahead, as the clock stood still while
    /// that of this process went on; it is set back.
    pub const fn record(&mut self, reading: &Reading) {
        let estimate_ms = self.at_ms(reading.received_at_ms);
        if reading.clock_ms >= estimate_ms || estimate_ms > reading.latest_ms() {
            *self = Self::new(reading);
        }
    }

    /// Counts a time in which the other clock did not advance, up to `now_ms`.
    pub const fn discount(&mut self, now_ms: u64, stood_still_ms: u64) {
        let latest_ms = if self.received_at_ms > now_ms {
            self.received_at_ms
        } else {
            now_ms
        };
        let received_at_ms = self.received_at_ms.saturating_add(stood_still_ms);
        self.received_at_ms = if received_at_ms < latest_ms {
            received_at_ms
        } else {
            latest_ms
        };
    }

    /// Returns a reading that the clock has reached at `now_ms`, even if it runs as slow as
    /// allowed.
    pub const fn at_ms(&self, now_ms: u64) -> u64 {
        let elapsed_ms = now_ms.saturating_sub(self.received_at_ms);
        self.reading_ms
            .saturating_add(elapsed_ms - rate_error_ms(elapsed_ms))
    }
}

/// Returns by how much a clock may be slow or fast after a time.
const fn rate_error_ms(elapsed_ms: u64) -> u64 {
    elapsed_ms
        .saturating_mul(MAX_SLOWNESS_PERCENT)
        .div_ceil(100)
}
