//! Operator settings: a folder of TOML files, merged in the order of their names.
//!
//! Changes are published as records on the log; every process validates and applies
//! them in the same way.

pub mod check;
pub mod checked;
pub mod diff;
mod fields;
pub mod merge;
pub mod problem;
pub mod ranges;
pub mod reader;
pub mod record;
mod relations;
pub mod state;

pub use check::check_folder;
pub use checked::Limits;
pub use checked::Policy;
pub use checked::Settings;
pub use checked::Team;
pub use checked::Timeouts;
pub use checked::Zone;
pub use problem::Problem;
pub use reader::Batch;
pub use reader::Reader;
pub use record::Change;
pub use record::Checkpoint;
pub use record::Record;
pub use state::State;
pub use state::Verdict;
