//! Infrastructure of the subcommands: errors, flags, configuration, output.

pub mod config;
pub mod error;
pub mod flags;
pub mod folder;
pub mod out;

pub use config::Config;
pub use error::CliError;
pub use error::CliResult;
