//! Jobs whose tasks run under leases: a task may run more than once, but never twice at a time.
//!
//! No state of such a job is stored. A caller that loses its answer resends the job, to any
//! entry, and the job starts from scratch; every run of the first submission must have ended
//! by then. A chain of three leases guarantees this without comparing clocks:
//!
//! | lease of | held by | expires |
//! | --- | --- | --- |
//! | a caller | the entry, for one job | when the connection breaks or the deadline passes |
//! | an entry | the runner, for all runs of that entry | [`capacity::OWNER_TIMEOUT_MS`] after the entry was last seen |
//! | a runner | the backend server, for all its runs | [`capacity::LEASE_MS`] after the last renewal |
//!
//! `docs/DESIGN-PLATFORM.md` derives the times. [`dispatch`] makes the decisions of an entry
//! and [`capacity`] those of a runner; neither performs I/O nor reads a clock.

pub mod cancels;
pub mod capacity;
pub mod clock_estimate;
pub mod directives;
pub mod dispatch;
pub mod entry;
pub mod entry_list;
pub mod handover;
pub mod job;
pub mod messages;
pub mod pacing;
pub mod peers;
pub mod ports;
pub mod process;
pub mod queues;
pub mod runner;
pub mod silences;
pub mod suspension;
pub mod traffic;
