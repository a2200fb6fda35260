//! Sends the jobs of a plan when they are due, whether or not earlier ones are answered.

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
use crate::client::settle;
use crate::cmd::load::plan;
use crate::cmd::load::tally;
use crate::ids;

/// Tickets that are taken in one call.
const TICKETS_PER_CALL: u32 = 100;

/// Tickets are dropped this long before they expire, so that none expires on its way.
const TICKET_MARGIN: time::Duration = time::Duration::from_secs(5);

/// Bounds of the driver.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Jobs that are open at the same time.
    pub open: usize,
    /// Deadline of each job.
    pub deadline: time::Duration,
    /// Whether tasks may be started again after they may have run.
    pub idempotent: bool,
}

/// What the driver shares with the jobs on their way.
#[derive(Debug)]
struct Shared {
    entries: entries::Entries,
    bounds: Bounds,
    tickets: Vec<sync::Mutex<Stock>>,
    tally: cell::RefCell<tally::Tally>,
    open: cell::Cell<usize>,
}

/// Tickets of one entry, taken ahead of their use.
#[derive(Debug)]
struct Stock {
    tickets: collections::VecDeque<ids::SubmissionId>,
    good_until: time::Instant,
}

impl Stock {
    fn new() -> Self {
        Self {
            tickets: collections::VecDeque::new(),
            good_until: time::Instant::now(),
        }
    }

    /// A ticket that is still good, from the stock or else fresh from its entry.
    async fn take(
        &mut self,
        entries: &entries::Entries,
        place: usize,
    ) -> Result<ids::SubmissionId, client::ClientError> {
        let is_good = time::Instant::now() < self.good_until;
        if let Some(ticket) = self.tickets.pop_front().filter(|_ticket| is_good) {
            return Ok(ticket);
        }
        let fresh = entries.tickets(place, TICKETS_PER_CALL).await?;
        let valid = time::Duration::from_millis(fresh.valid_ms).min(flags::MAX_TIME);
        self.good_until = time::Instant::now() + valid.saturating_sub(TICKET_MARGIN);
        self.tickets = fresh.tickets.into();
        self.tickets
            .pop_front()
            .ok_or_else(|| entries.no_ticket(place))
    }
}

/// Runs the whole plan and waits for the last answer.
pub async fn drive(
    entries: entries::Entries,
    plan: &plan::Plan,
    bounds: Bounds,
) -> (tally::Tally, time::Duration) {
    let stocks = (0..entries.len()).map(|_| sync::Mutex::new(Stock::new()));
    let shared = rc::Rc::new(Shared {
        tickets: stocks.collect(),
        entries,
        bounds,
        tally: cell::RefCell::default(),
        open: cell::Cell::new(0),
    });
    let start = time::Instant::now();
    let mut jobs = Vec::new();
    for (place, arrival) in plan.arrivals().enumerate() {
        rt_time::sleep_until((start + arrival.at).into()).await;
        if shared.open.get() >= bounds.open {
            shared.count(&arrival, tally::End::NotSent, time::Duration::ZERO, 0);
            continue;
        }
        shared.open.set(shared.open.get() + 1);
        let due = start + arrival.at;
        jobs.push(actix_rt::spawn(one_job(
            rc::Rc::clone(&shared),
            place,
            arrival,
            due,
        )));
    }
    for job in jobs {
        let _ended = job.await;
    }
    let elapsed = start.elapsed();
    (shared.tally.take(), elapsed)
}

/// Sees one job through; its time counts from when it was due.
async fn one_job(shared: rc::Rc<Shared>, place: usize, arrival: plan::Arrival, due: time::Instant) {
    let (end, repeats) = match shared.submit(place, &arrival).await {
        Ok(settled) if settled.answer.is_final => {
            (tally::End::Answered(settled.answer.code), settled.repeats)
        }
        Ok(settled) => (tally::End::Unanswered(settled.answer.code), settled.repeats),
        Err(err) => (tally::End::Unanswered(err.code()), 0),
    };
    shared.count(&arrival, end, due.elapsed(), repeats);
    shared.open.set(shared.open.get() - 1);
}

impl Shared {
    fn count(
        &self,
        arrival: &plan::Arrival,
        end: tally::End,
        response: time::Duration,
        repeats: u32,
    ) {
        let sample = tally::Sample {
            end,
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
    ) -> Result<settle::Settled, client::ClientError> {
        let (place, ticket) = self.ticket(first).await?;
        let deadline = self.bounds.deadline;
        let submission = api::Submission {
            submission: Some(ticket),
            deadline_ms: Some(u64::try_from(deadline.as_millis()).unwrap_or(u64::MAX)),
            wait_ms: 0,
            idempotent: self.bounds.idempotent,
            tasks: arrival.tasks.clone(),
        };
        let subject = settle::Subject::Submit(entries::Shape::Job, &submission);
        let patience = settle::Patience::lasting(deadline + settle::GRACE);
        settle::settle(&self.entries, place, subject, patience).await
    }

    /// A ticket of the first entry that has or gives one.
    async fn ticket(
        &self,
        first: usize,
    ) -> Result<(usize, ids::SubmissionId), client::ClientError> {
        let mut place = first;
        loop {
            // One job at a time asks for more, or a burst would take a hundred each.
            let mut stock = self.tickets[place % self.entries.len()].lock().await;
            match stock.take(&self.entries, place).await {
                Ok(ticket) => return Ok((place, ticket)),
                Err(err) if place + 1 >= first + self.entries.len() => return Err(err),
                Err(_refused) => place += 1,
            }
        }
    }
}
