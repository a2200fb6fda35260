//! Clients of entries, other daemons and the log service.

pub mod entries;
pub mod exchange;
pub mod follow;
pub mod http;
pub mod log;
pub mod publish;
pub mod rollout;
pub mod survey;

pub use entries::Entries;
pub use http::ClientError;
pub use http::Http;
pub use log::Log;
