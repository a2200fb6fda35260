//! Tests of the pure modules.

mod admission;
mod audit;
mod claims;
mod codes;
mod dispatching;
mod jobs;
mod learning;
mod queue;
mod retry;
mod settings;
mod starts;
mod window;
