//! What every subcommand of the tool shares: errors, flags, settings, output.

pub mod config;
pub mod error;
pub mod flags;
pub mod folder;
pub mod out;

pub use config::Config;
pub use error::CliError;
pub use error::CliResult;
