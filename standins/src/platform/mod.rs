//! Stand-ins for the platform's store and for a backend server whose runs need a lease.
//!
//! They follow the platform's published protocol.

pub mod backend;
pub mod profile;
pub mod store;
