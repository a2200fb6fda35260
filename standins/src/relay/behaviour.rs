//! How a relay treats the connections that it forwards.

use std::time;

use rand::Rng as _;
use serde::Deserialize;
use serde::Serialize;

/// Pause before the first retransmission of a lost chunk.
const RETRANSMISSION_TIME: time::Duration = time::Duration::from_millis(200);

/// Maximum number of retransmissions of a chunk.
const MAX_RETRANSMISSIONS: u32 = 4;

/// Direction of the bytes that a silent connection drops.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// From the client to the target.
    ToTarget,
    /// From the target to the client.
    FromTarget,
    /// Both directions.
    Both,
}

/// How the relay treats connections and their bytes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "mode")]
pub enum Behaviour {
    /// Bytes are forwarded at once.
    #[default]
    Pass,
    /// Bytes are forwarded after a delay, in both directions.
    Delay {
        /// Delay in milliseconds.
        ms: u64,
    },
    /// The throughput of each connection is limited in each direction.
    Pace {
        /// Bytes per second; 0 counts as 1.
        bytes_per_s: u64,
    },
    /// Open connections are closed, and new ones are closed on accept.
    Cut,
    /// Open connections drop bytes and shutdowns, but stay open.
    ///
    /// A silent connection remains silent under every later behaviour.
    Silent {
        /// Direction in which bytes are dropped.
        direction: Direction,
        /// Whether new connections are silent too.
        #[serde(default)]
        new_too: bool,
    },
    /// Open connections become silent in both directions, for good; new connections work.
    SilentExisting,
    /// A share of the chunks is late by a retransmission or more, with all chunks after them.
    Lossy {
        /// Share of the chunks, in thousandths.
        per_mille: u32,
    },
}

impl Behaviour {
    /// Returns the silent direction and whether new connections are silent too.
    pub(super) const fn silence(self) -> Option<(Direction, bool)> {
        match self {
            Self::Silent { direction, new_too } => Some((direction, new_too)),
            Self::SilentExisting => Some((Direction::Both, false)),
            Self::Pass
            | Self::Delay { .. }
            | Self::Pace { .. }
            | Self::Cut
            | Self::Lossy { .. } => None,
        }
    }

    /// Returns the delay of a chunk.
    pub(super) fn delay(self) -> time::Duration {
        match self {
            Self::Delay { ms } => time::Duration::from_millis(ms),
            Self::Lossy { per_mille } => retransmission_time(per_mille),
            _ => time::Duration::ZERO,
        }
    }

    /// Returns how long a connection takes to transmit the given number of bytes.
    pub(super) fn transmission_time(self, bytes: usize) -> time::Duration {
        match self {
            Self::Pace { bytes_per_s } => {
                time::Duration::from_secs(bytes as u64)
                    / u32::try_from(bytes_per_s.max(1)).unwrap_or(u32::MAX)
            }
            _ => time::Duration::ZERO,
        }
    }
}

/// Draws how long the retransmissions of a chunk take; the pause before each is twice the last one.
fn retransmission_time(per_mille: u32) -> time::Duration {
    let mut rng = rand::rng();
    let lost =
        (0..MAX_RETRANSMISSIONS).take_while(|_| rng.random_ratio(per_mille.min(1_000), 1_000));
    lost.map(|number| RETRANSMISSION_TIME * (1 << number)).sum()
}
