//! Tests of the pure modules.

mod audit;
mod claims;
mod codes;
mod dispatching;
mod jobs;
mod retry;
mod settings;
mod starts;
mod window;
