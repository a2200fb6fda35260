//! Which callers that wait for a job are still connected.
//!
//! That a caller has left is noticed by the thread that serves it, and passed on to the control thread
//! as a message. News that the control thread reads earlier, such as the end of a run, must not
//! start a task for such a caller: it may be served by another entry by now.

use std::collections;
use std::fmt;

use crate::hangup;
use crate::leased::dispatch::jobs;

/// A caller's connection.
pub trait Connection: fmt::Debug {
    /// Returns whether the caller has closed it, or it is broken, at this moment.
    fn is_closed(&self) -> bool;
}

impl Connection for hangup::Connection {
    fn is_closed(&self) -> bool {
        Self::is_closed(self)
    }
}

/// Connections of the callers that wait for answers.
#[derive(Debug, Default)]
pub struct Callers {
    by_waiter: collections::HashMap<jobs::Waiter, Box<dyn Connection>>,
}

impl Callers {
    /// Adds the connection of a caller.
    pub fn insert(&mut self, waiter: jobs::Waiter, connection: Box<dyn Connection>) {
        self.by_waiter.insert(waiter, connection);
    }

    /// Removes the connection of a caller that no longer waits.
    pub fn remove(&mut self, waiter: jobs::Waiter) {
        self.by_waiter.remove(&waiter);
    }

    /// Returns whether a caller has left; one without a known connection has not.
    pub fn has_left(&self, waiter: jobs::Waiter) -> bool {
        let connection = self.by_waiter.get(&waiter);
        connection.is_some_and(|connection| connection.is_closed())
    }

    /// Returns whether all of these callers have left.
    pub fn have_all_left(&self, waiters: &[jobs::Waiter]) -> bool {
        !waiters.is_empty() && waiters.iter().all(|waiter| self.has_left(*waiter))
    }
}
