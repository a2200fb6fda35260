//! Tests of the pure modules.

mod audit;
mod codes;
mod freshness;
mod keeper;
mod membership;
mod settings;
