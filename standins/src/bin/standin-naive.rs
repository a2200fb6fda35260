//! Naive dispatcher, as a process.

use std::io;
use std::net;
use std::process;

use bulrushtiller_standins::command;
use bulrushtiller_standins::naive;

const USAGE: &str = "\
Usage: standin-naive --workers IP:PORT,... [options]

Serves callers like an entry (/v1/tickets, /v1/jobs, /v1/submissions/ID) and sends each
task to a worker drawn at random, in order of arrival and with unbounded queues. For
comparisons only: 'bulrushtiller load' runs against it as against entries.

  --listen IP:PORT     default 127.0.0.1:0, a port from the OS
  --slots N            concurrent tasks on each worker; default 8
  --seed N             seed of the random choice of workers; default 1
";

fn main() -> process::ExitCode {
    command::main(USAGE, read, run)
}

fn read(args: &mut pico_args::Arguments) -> Result<naive::Options, pico_args::Error> {
    let mut options = naive::Options {
        workers: args.value_from_fn("--workers", parse_workers)?,
        ..naive::Options::default()
    };
    if let Some(listen) = args.opt_value_from_str("--listen")? {
        options.listen = listen;
    }
    if let Some(slots) = args.opt_value_from_str("--slots")? {
        options.slots = slots;
    }
    if let Some(seed) = args.opt_value_from_str("--seed")? {
        options.seed = seed;
    }
    Ok(options)
}

fn parse_workers(text: &str) -> Result<Vec<net::SocketAddr>, net::AddrParseError> {
    text.split(',').map(str::parse).collect()
}

async fn run(options: naive::Options) -> io::Result<()> {
    let naive = naive::Naive::start(&options)?;
    command::print_address("listening", naive.address())?;
    naive.finished().await
}
