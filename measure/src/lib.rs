//! Deterministic measurements of the pure decision modules: queues, slots and service
//! times on a simulated clock, without network or processes.

pub mod ceiling;
pub mod leased;
pub mod pages;
pub mod patterns;
pub mod report;
pub mod runs;
pub mod sim;
pub mod slopes;
pub mod workload;
