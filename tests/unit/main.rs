//! Tests of the pure modules.

mod audit;
mod settings;
