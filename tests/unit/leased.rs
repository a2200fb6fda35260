//! Runs under leases: the runner's room, the entry's decisions, and what passes between.

mod answers;
mod directives;
mod dispatch;
mod fixtures;
mod jobs;
mod line;
mod placement;
mod play;
mod prior_wait;
mod queues;
mod room;
mod urgency;
mod watching;
