//! Runs under leases: the runner's room, the entry's decisions, and what passes between.

mod call_timeout;
mod capacity;
mod dispatch;
mod fixtures;
mod jobs;
mod patience;
mod placing;
mod play;
mod queues;
mod spreading;
mod urgency;
mod wait_queue;
mod watching;
