//! Operator settings: a folder of TOML files, merged in the order of their names.
//!
//! Changes are published as records on the log; every process validates and applies
//! them in the same way.

pub mod check;
pub mod diff;
mod fields;
pub mod merge;
pub mod problem;
pub mod ranges;
pub mod reader;
pub mod record;
mod relations;
pub mod state;
pub mod values;

pub use check::check_folder;
pub use problem::Problem;
pub use reader::Batch;
pub use reader::Reader;
pub use record::Change;
pub use record::Checkpoint;
pub use record::Record;
pub use state::State;
pub use state::Verdict;
pub use values::Limits;
pub use values::Policy;
pub use values::Settings;
pub use values::Team;
pub use values::Timeouts;
pub use values::Zone;
