//! Tests of the pure modules.

mod admission;
mod api;
mod audit;
mod codes;
mod fixed;
mod freshness;
mod ids;
mod keeper;
mod learning;
mod membership;
mod queue;
mod settings;
mod wire;
