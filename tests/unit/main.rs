//! Tests of the pure modules.

mod admission;
mod audit;
mod codes;
mod learning;
mod queue;
mod settings;
