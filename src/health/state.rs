//! In service, ejected, probed: the life of a runner's standing.

/// Most doublings of the time out: 5 s grow to 320 s at most.
const MAX_DOUBLINGS: u32 = 6;

/// Tasks at once at which a probed runner is in service again: the slots of today.
const WHOLE: u32 = 8;

/// How long a first probe may wait for a task that has time to spare, milliseconds.
const PATIENCE_MS: u64 = 1_000;

/// How a runner stands with one entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// It gets work as any other; `times` ejected without a long good time since.
    InService {
        /// Ejections that count for the next time out.
        times: u32,
        /// When it came back into service, monotonic milliseconds.
        since_ms: u64,
    },
    /// It gets nothing until then, and is probed afterwards.
    Ejected(Ejected),
    /// It gets a few tasks at once, more with each that goes well.
    Probing(Probing),
}

/// Out of service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ejected {
    /// When probing begins, monotonic milliseconds.
    pub until_ms: u64,
    /// Ejections so far.
    pub times: u32,
}

/// Being probed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Probing {
    /// Most tasks at once.
    pub most: u32,
    /// Whether a probe went badly.
    pub is_failed: bool,
    /// Ejections so far.
    pub times: u32,
}

impl Default for State {
    fn default() -> Self {
        Self::InService {
            times: 0,
            since_ms: 0,
        }
    }
}

impl Ejected {
    const fn probe(self) -> Probing {
        Probing {
            most: 1,
            is_failed: false,
            times: self.times,
        }
    }
}

impl Probing {
    const fn went_well(self, now_ms: u64) -> State {
        let most = self.most * 2;
        if most >= WHOLE {
            return State::InService {
                times: self.times,
                since_ms: now_ms,
            };
        }
        State::Probing(Self { most, ..self })
    }

    const fn went_badly(self) -> State {
        State::Probing(Self {
            is_failed: true,
            ..self
        })
    }
}

impl State {
    /// Whether it gets nothing now.
    pub const fn is_out(&self, now_ms: u64) -> bool {
        matches!(self, Self::Ejected(ejected) if ejected.until_ms > now_ms)
    }

    /// Whether only tasks with time to spare are to be sent: the first probe is likely
    /// to find the server as bad as it was.
    pub const fn is_first_probe(&self, now_ms: u64) -> bool {
        matches!(self, Self::Ejected(ejected) if ejected.until_ms + PATIENCE_MS > now_ms)
    }

    /// Whether a task sent then was sent before the runner was taken out.
    pub const fn is_sent_before(&self, sent_ms: u64) -> bool {
        matches!(self, Self::Ejected(ejected) if sent_ms < ejected.until_ms)
    }

    /// Whether it is in service without a bound.
    pub const fn is_in_service(&self) -> bool {
        matches!(self, Self::InService { .. })
    }

    /// Most tasks at once; absent: no bound from here.
    pub const fn most(&self, now_ms: u64) -> Option<u32> {
        match self {
            Self::InService { .. } => None,
            Self::Ejected(_) if self.is_out(now_ms) => Some(0),
            Self::Ejected(ejected) => Some(ejected.probe().most),
            Self::Probing(probing) => Some(probing.most),
        }
    }

    /// A task ended that may have been a probe. What ends while the runner is out
    /// was sent before and is none.
    pub const fn probed(&mut self, now_ms: u64, is_well: bool) {
        let probing = match *self {
            Self::InService { .. } => return,
            Self::Ejected(_) if self.is_out(now_ms) => return,
            Self::Ejected(ejected) => ejected.probe(),
            Self::Probing(probing) => probing,
        };
        *self = if is_well {
            probing.went_well(now_ms)
        } else {
            probing.went_badly()
        };
    }

    /// Whether a probe went badly.
    pub const fn is_probe_failed(&self) -> bool {
        matches!(self, Self::Probing(probing) if probing.is_failed)
    }

    /// Takes it out, for twice as long as the time before; the count starts over
    /// after a good time of ten times the first.
    pub const fn eject(&mut self, now_ms: u64, eject_ms: u64) {
        let times = match *self {
            Self::InService { times, since_ms } => {
                let is_long_ago = now_ms > since_ms + eject_ms * 10;
                if is_long_ago { 0 } else { times }
            }
            Self::Ejected(ejected) => ejected.times,
            Self::Probing(probing) => probing.times,
        };
        let doublings = if times < MAX_DOUBLINGS {
            times
        } else {
            MAX_DOUBLINGS
        };
        *self = Self::Ejected(Ejected {
            until_ms: now_ms + (eject_ms << doublings),
            times: times + 1,
        });
    }

    /// The word for it in `/status`; absent in service.
    pub const fn label(&self, now_ms: u64) -> Option<&'static str> {
        match self {
            Self::InService { .. } => None,
            Self::Ejected(_) if self.is_out(now_ms) => Some("ejected"),
            Self::Ejected(_) | Self::Probing(_) => Some("probing"),
        }
    }
}
