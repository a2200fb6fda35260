//! Stand-ins for the platform's store and for a backend server whose runs need a lease.
//!
//! They follow the platform's published protocol.

pub mod backend;
mod calls;
pub mod heartbeats;
pub mod profile;
mod runs;
pub mod store;
