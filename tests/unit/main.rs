//! Tests of the pure modules.

mod audit;
mod codes;
mod settings;
