//! Tests of the pure modules.

mod admission;
mod api;
mod audit;
mod claims;
mod codes;
mod dispatching;
mod entry;
mod fixed;
mod freshness;
mod health;
mod ids;
mod jobs;
mod keeper;
mod leading;
mod learning;
mod membership;
mod placement;
mod queue;
mod ramp;
mod retry;
mod runner;
mod settings;
mod slots;
mod starts;
mod window;
mod wire;
