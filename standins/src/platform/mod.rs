//! Stand-ins for the platform's store and for a backend server that runs under leases,
//! by the platform's published protocol.

pub mod backend;
pub mod store;
