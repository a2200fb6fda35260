//! Tests of the pure modules.

mod api;
mod audit;
mod codes;
mod fixed;
mod ids;
mod settings;
mod wire;
