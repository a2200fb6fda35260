//! The audit trail: who changed which settings, when, with what effect.
//!
//! Events about records derive from the log alone, so every process tells the same;
//! events about peers are those of the process that saw them.

pub mod event;
pub mod ring;

pub use event::Event;
pub use event::replay;
pub use ring::Audit;
pub use ring::Page;
