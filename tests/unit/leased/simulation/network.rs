//! Messages between entries and runners on their way, and what is done without an answer.

use bulrushtiller::ids;
use bulrushtiller::leased::dispatch::runners;
use bulrushtiller::leased::messages;

use super::faults;

/// A message under way; a watch has a number, which its report repeats.
#[derive(Clone, Debug)]
pub enum Message {
    Order(messages::Order),
    Watch(messages::Watch, u64),
    Ordered(messages::Order, messages::OrderReply),
    Reported(messages::Report, u64),
}

impl Message {
    /// The way that it takes.
    pub const fn way(&self) -> faults::Way {
        match self {
            Self::Order(_) | Self::Watch(..) => faults::Way::ToRunner,
            Self::Ordered(..) | Self::Reported(..) => faults::Way::ToEntry,
        }
    }
}

/// What an entry does where an answer doesn't come.
#[derive(Clone, Debug)]
pub enum Overdue {
    Watch(runners::RunnerKey, u64),
    Order(messages::Order),
    OrderAgain(messages::Order),
}

#[derive(Clone, Debug)]
pub struct Timer {
    pub at_ms: u64,
    pub entry: usize,
    pub life: ids::Incarnation,
    pub runner: usize,
    pub overdue: Overdue,
}

#[derive(Clone, Debug)]
pub struct Letter {
    pub at_ms: u64,
    pub entry: usize,
    pub life: ids::Incarnation,
    pub runner: usize,
    pub message: Message,
}
