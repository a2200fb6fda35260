//! The audit trail: who changed which settings, when and with what result.
//!
//! Events about records are derived from the log alone, so they are the same on every
//! process; events about peers are recorded only by the process that observed them.

pub mod event;
pub mod ring;

pub use event::Event;
pub use event::replay;
pub use ring::Audit;
pub use ring::Page;
