//! Tests of the pure modules.

mod admission;
mod audit;
mod codes;
mod health;
mod learning;
mod membership;
mod placement;
mod queue;
mod ramp;
mod settings;
