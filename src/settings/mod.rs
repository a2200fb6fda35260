//! Settings that operators write: a folder of TOML files, merged in the order of
//! their names, published as records on the log, checked the same way everywhere.

pub mod checked;
pub mod record;

pub use checked::Limits;
pub use checked::Policy;
pub use checked::Settings;
pub use checked::Team;
pub use checked::Timeouts;
pub use checked::Zone;
pub use record::Checkpoint;
pub use record::Record;
