//! What shows a runner that a run has ended or never starts.

/// What shows that a run has ended or never starts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// A listing has the run among the ended ones.
    Listed,
    /// A listing that was requested after the start, or after the stop, was answered lacks the run.
    Missing,
    /// The backend server refused the only call to start the run.
    StartRefused,
    /// Another incarnation has announced itself, and answered a listing call at the same address.
    Replaced,
    /// All leases have expired, and listing calls remain unanswered.
    LeasesExpired,
    /// Its entry, or the silence of its entry, took the run out of the wait queue.
    Withdrawn,
    /// A more urgent run took its place in the wait queue.
    Displaced,
    /// The run waited in the queue for as long as its order allows.
    WaitedTooLong,
    /// The backend server takes no more runs, so that the wait queue was emptied.
    NotReady,
}
