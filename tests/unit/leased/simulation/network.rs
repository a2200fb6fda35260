//! Messages in flight between entries and runners, and time-outs of their answers.

use bulrushtiller::ids;
use bulrushtiller::leased::dispatch::runners;
use bulrushtiller::leased::messages;

use super::faults;

/// A message; a watch has a number, which its report repeats.
#[derive(Clone, Debug)]
pub enum Message {
    Order(messages::Order),
    Watch(messages::Watch, u64),
    Reply(messages::Order, messages::OrderReply),
    WatchAnswer(messages::Report, u64),
}

impl Message {
    /// Returns the direction in which the message is sent.
    pub const fn direction(&self) -> faults::Direction {
        match self {
            Self::Order(_) | Self::Watch(..) => faults::Direction::ToRunner,
            Self::Reply(..) | Self::WatchAnswer(..) => faults::Direction::ToEntry,
        }
    }
}

/// A call of an entry that may time out.
#[derive(Clone, Debug)]
pub enum Pending {
    Watch(runners::RunnerKey, u64),
    Order(messages::Order),
    ResentOrder(messages::Order),
}

/// The time-out of a call.
#[derive(Clone, Debug)]
pub struct Timer {
    pub at_ms: u64,
    pub entry: usize,
    pub incarnation: ids::Incarnation,
    pub runner: usize,
    pub pending: Pending,
}

/// A message in flight.
#[derive(Clone, Debug)]
pub struct InFlight {
    pub at_ms: u64,
    pub entry: usize,
    pub incarnation: ids::Incarnation,
    pub runner: usize,
    pub message: Message,
}
