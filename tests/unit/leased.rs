//! Runs under leases: the runner's room, the entry's decisions, and what passes between.

mod call_timeout;
mod capacity;
mod directives;
mod dispatch;
mod fixtures;
mod jobs;
mod placement;
mod prior_wait;
mod queues;
mod simulation;
mod urgency;
mod wait_queue;
mod watching;
