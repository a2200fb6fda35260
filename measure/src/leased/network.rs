//! Messages in flight between entries and runners, and time-outs of their answers.

use bulrushtiller::ids;
use bulrushtiller::leased::dispatch::runners;
use bulrushtiller::leased::messages;

use crate::leased::faults;

/// A message; a watch has a number, which its report repeats.
#[derive(Clone, Debug)]
pub enum Message {
    /// An order to a runner.
    Order(messages::Order),
    /// A watch at a runner.
    Watch(messages::Watch, u64),
    /// The reply to an order.
    Reply(messages::Order, messages::OrderReply),
    /// The report that answers a watch.
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
    /// A watch, by its number.
    Watch(runners::RunnerKey, u64),
    /// An order sent once.
    Order(messages::Order),
    /// An order sent twice.
    ResentOrder(messages::Order),
}

/// The time-out of a call.
#[derive(Clone, Debug)]
pub struct Timer {
    /// When the call times out.
    pub at_ms: u64,
    /// Index of the entry.
    pub entry: usize,
    /// Incarnation of the entry that made the call.
    pub incarnation: ids::Incarnation,
    /// Index of the runner.
    pub runner: usize,
    /// The call.
    pub pending: Pending,
}

/// A message in flight.
#[derive(Clone, Debug)]
pub struct InFlight {
    /// When the message arrives.
    pub at_ms: u64,
    /// Index of the entry.
    pub entry: usize,
    /// Incarnation of the entry that sent the message or receives it.
    pub incarnation: ids::Incarnation,
    /// Index of the runner.
    pub runner: usize,
    /// The message.
    pub message: Message,
}
