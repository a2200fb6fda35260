//! Tests of the pure modules.

mod admission;
mod api;
mod audit;
mod codes;
mod fixed;
mod freshness;
mod health;
mod ids;
mod keeper;
mod learning;
mod membership;
mod placement;
mod queue;
mod ramp;
mod settings;
mod slots;
mod wire;
