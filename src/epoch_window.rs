//! Window of epochs that bounds how long a process has to remember messages.
//!
//! A process sends its current epoch (on tickets, on heartbeats) and accepts only
//! messages that carry the current or the previous one. Whatever it records is
//! tagged with the epoch of the recording, which is never below the epoch that
//! the recorded message carried. A record may therefore be dropped once its tag
//! has left the window: a repeat of its message would be refused by its epoch
//! alone. The scheme needs no clock that is shared by machines.

/// Epochs of one incarnation of a process; the first is 1.
#[derive(Clone, Copy, Debug)]
pub struct EpochWindow {
    current: u64,
    began_ms: u64,
}

impl EpochWindow {
    /// Starts the first epoch.
    pub const fn new(now_ms: u64) -> Self {
        Self {
            current: 1,
            began_ms: now_ms,
        }
    }

    /// Returns the current epoch, which is put into messages and record tags.
    pub const fn current(&self) -> u64 {
        self.current
    }

    /// Whether a message of this epoch is accepted and a record with this tag is kept.
    pub const fn contains(&self, epoch: u64) -> bool {
        epoch <= self.current && epoch + 1 >= self.current
    }

    /// Begins another epoch when this one has lasted `length_ms`; returns whether it did.
    pub const fn advance(&mut self, now_ms: u64, length_ms: u64) -> bool {
        if now_ms.saturating_sub(self.began_ms) < length_ms {
            return false;
        }
        self.current += 1;
        self.began_ms = now_ms;
        true
    }
}
