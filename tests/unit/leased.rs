//! Runs under leases: the runner's room, the entry's decisions, and what passes between.

mod answers;
mod dispatch;
mod fixtures;
mod jobs;
mod line;
mod patience;
mod placing;
mod play;
mod queues;
mod room;
mod spreading;
mod urgency;
mod watching;
