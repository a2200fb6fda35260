//! Jobs whose tasks run under leases: a task may run again, but never twice at once.
//!
//! Nothing of such a job is stored. A caller that lost its answer sends the same job
//! again, to any entry, and it starts anew; so every run of the first life has to be over
//! by then. Three leases in a chain see to it, and no clocks are compared:
//!
//! | lease | who holds it | ends when |
//! | --- | --- | --- |
//! | of a caller | the entry, for one job | the connection breaks or the deadline passes |
//! | of an entry | the runner, for all runs of one entry | [`capacity::OWNER_TIMEOUT_MS`] without a sign of life |
//! | of a runner | the backend server, for all its runs | [`capacity::LEASE_MS`] without a renewal |
//!
//! `docs/DESIGN-PLATFORM.md` has the arithmetic. [`dispatch`] decides for an entry and
//! [`room`] for a runner; both are free of network and clock.

pub mod capacity;
pub mod directives;
pub mod dispatch;
pub mod entry;
pub mod job;
pub mod messages;
pub mod peers;
pub mod ports;
pub mod process;
pub mod queues;
pub mod runner;
pub mod traffic;
