//! Tests of the pure modules.

mod admission;
mod audit;
mod codes;
mod freshness;
mod keeper;
mod learning;
mod membership;
mod queue;
mod settings;
