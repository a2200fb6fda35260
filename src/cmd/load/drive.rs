//! Open-loop load driver: submits the jobs of a plan when they are due, independently of the
//! answers to earlier ones.

use std::cell;
use std::collections;
use std::rc;
use std::time;

use actix_rt::time as rt_time;
use tokio::sync;

use crate::api;
use crate::cli::flags;
use crate::client;
use crate::client::entries;
use crate::client::exchange;
use crate::cmd::load::plan;
use crate::cmd::load::tally;
use crate::ids;

/// Number of tickets that one call takes.
const TICKETS_PER_CALL: u32 = 100;

/// Margin before the expiry of tickets after which they are discarded, so that none expires
/// in transit.
const TICKET_MARGIN: time::Duration = time::Duration::from_secs(5);

/// Limits of the driver and options of its jobs.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum number of jobs that are open at the same time.
    pub open: usize,
    /// Deadline of each job.
    pub deadline: time::Duration,
    /// Whether a task that may have run may be started again.
    pub idempotent: bool,
}

/// State that the driver shares with the open jobs.
#[derive(Debug)]
struct Shared {
    entries: entries::Entries,
    bounds: Bounds,
    tickets: Vec<sync::Mutex<TicketPool>>,
    tally: cell::RefCell<tally::Tally>,
    open: cell::Cell<usize>,
}

/// Tickets of one entry, taken in advance.
#[derive(Debug)]
struct TicketPool {
    tickets: collections::VecDeque<ids::SubmissionId>,
    valid_until: time::Instant,
}

impl TicketPool {
    fn new() -> Self {
        Self {
            tickets: collections::VecDeque::new(),
            valid_until: time::Instant::now(),
        }
    }

    /// Takes a valid ticket from the pool, which is refilled from the entry if necessary.
    async fn take(
        &mut self,
        entries: &entries::Entries,
        index: usize,
    ) -> Result<ids::SubmissionId, client::ClientError> {
        let is_valid = time::Instant::now() < self.valid_until;
        if let Some(ticket) = self.tickets.pop_front().filter(|_ticket| is_valid) {
            return Ok(ticket);
        }
        let new_tickets = entries.tickets(index, TICKETS_PER_CALL).await?;
        let valid = time::Duration::from_millis(new_tickets.valid_ms).min(flags::MAX_TIME);
        self.valid_until = time::Instant::now() + valid.saturating_sub(TICKET_MARGIN);
        self.tickets = new_tickets.tickets.into();
        self.tickets
            .pop_front()
            .ok_or_else(|| entries.no_ticket_error(index))
    }
}

/// Runs the whole plan and waits for the last answer; returns the results and the duration.
pub async fn drive(
    entries: entries::Entries,
    plan: &plan::Plan,
    bounds: Bounds,
) -> (tally::Tally, time::Duration) {
    let pools = (0..entries.len()).map(|_| sync::Mutex::new(TicketPool::new()));
    let shared = rc::Rc::new(Shared {
        tickets: pools.collect(),
        entries,
        bounds,
        tally: cell::RefCell::default(),
        open: cell::Cell::new(0),
    });
    let start = time::Instant::now();
    let mut jobs = Vec::new();
    for (index, arrival) in plan.arrivals().enumerate() {
        rt_time::sleep_until((start + arrival.at).into()).await;
        if shared.open.get() >= bounds.open {
            shared.record(&arrival, tally::Outcome::NotSent, time::Duration::ZERO, 0);
            continue;
        }
        shared.open.set(shared.open.get() + 1);
        let due = start + arrival.at;
        jobs.push(actix_rt::spawn(run_job(
            rc::Rc::clone(&shared),
            index,
            arrival,
            due,
        )));
    }
    for job in jobs {
        let _joined = job.await;
    }
    let elapsed = start.elapsed();
    (shared.tally.take(), elapsed)
}

/// Submits one job and waits for its answer; the response time starts when the job was due.
async fn run_job(shared: rc::Rc<Shared>, index: usize, arrival: plan::Arrival, due: time::Instant) {
    let (outcome, repeats) = match shared.submit(index, &arrival).await {
        Ok(reply) if reply.answer.is_final => {
            (tally::Outcome::Answered(reply.answer.code), reply.repeats)
        }
        Ok(reply) => (tally::Outcome::Unanswered(reply.answer.code), reply.repeats),
        Err(err) => (tally::Outcome::Unanswered(err.code()), 0),
    };
    shared.record(&arrival, outcome, due.elapsed(), repeats);
    shared.open.set(shared.open.get() - 1);
}

impl Shared {
    fn record(
        &self,
        arrival: &plan::Arrival,
        outcome: tally::Outcome,
        response: time::Duration,
        repeats: u32,
    ) {
        let sample = tally::Sample {
            outcome,
            response,
            ideal_ms: arrival.ideal_ms(),
            work_ms: arrival
                .tasks
                .iter()
                .map(|task| u64::from(task.run_ms))
                .sum(),
            repeats,
        };
        self.tally.borrow_mut().add(&sample);
    }

    async fn submit(
        &self,
        first: usize,
        arrival: &plan::Arrival,
    ) -> Result<exchange::Reply, client::ClientError> {
        let (index, ticket) = self.ticket(first).await?;
        let deadline = self.bounds.deadline;
        let submission = api::Submission {
            submission: Some(ticket),
            deadline_ms: Some(u64::try_from(deadline.as_millis()).unwrap_or(u64::MAX)),
            wait_ms: 0,
            idempotent: self.bounds.idempotent,
            tasks: arrival.tasks.clone(),
        };
        let operation = exchange::Operation::Submit(entries::Endpoint::Job, &submission);
        let limits = exchange::TimeLimits::within(deadline + exchange::GRACE);
        exchange::perform(&self.entries, index, operation, limits).await
    }

    /// Takes a ticket from the first entry that issues one, starting at `first`.
    async fn ticket(
        &self,
        first: usize,
    ) -> Result<(usize, ids::SubmissionId), client::ClientError> {
        let mut index = first;
        loop {
            // The lock lets only one job refill the pool; otherwise each job of a burst would
            // take a hundred tickets.
            let mut pool = self.tickets[index % self.entries.len()].lock().await;
            match pool.take(&self.entries, index).await {
                Ok(ticket) => return Ok((index, ticket)),
                Err(err) if index + 1 >= first + self.entries.len() => return Err(err),
                Err(_err) => index += 1,
            }
        }
    }
}
