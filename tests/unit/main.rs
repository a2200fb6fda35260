//! Tests of the pure modules.

mod admission;
mod api;
mod audit;
mod claims;
mod codes;
mod dispatching;
mod fixed;
mod freshness;
mod ids;
mod jobs;
mod keeper;
mod learning;
mod membership;
mod queue;
mod retry;
mod settings;
mod starts;
mod window;
mod wire;
