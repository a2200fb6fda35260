//! Tests of the pure modules.

mod admission;
mod api;
mod audit;
mod codes;
mod fixed;
mod ids;
mod learning;
mod queue;
mod settings;
mod wire;
