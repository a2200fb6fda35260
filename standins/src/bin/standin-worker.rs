//! Stand-in for a worker with its backend server, as a process.

use std::io;
use std::process;

use bulrushtiller_standins::command;
use bulrushtiller_standins::worker;

const USAGE: &str = "\
Usage: standin-worker [options]

  --listen IP:PORT     default 127.0.0.1:0, a port from the OS
  --cpu-milli N        thousandths of a core; default 16000
  --memory-mib N       default 32768
  --accelerators N     default 0
  --usage-lag-ms MS    age of usage reports; default 500
  --speed FACTOR       0.1 runs everything ten times slower; default 1
  --fail-all           fail every task as soon as it starts
";

fn main() -> process::ExitCode {
    command::main(USAGE, read, run)
}

fn read(args: &mut pico_args::Arguments) -> Result<worker::Options, pico_args::Error> {
    let mut options = worker::Options::default();
    if let Some(listen) = args.opt_value_from_str("--listen")? {
        options.listen = listen;
    }
    if let Some(cpu_milli) = args.opt_value_from_str("--cpu-milli")? {
        options.size.cpu_milli = cpu_milli;
    }
    if let Some(memory_mib) = args.opt_value_from_str("--memory-mib")? {
        options.size.memory_mib = memory_mib;
    }
    if let Some(accelerators) = args.opt_value_from_str("--accelerators")? {
        options.size.accelerators = accelerators;
    }
    if let Some(ms) = args.opt_value_from_str("--usage-lag-ms")? {
        options.usage_lag_ms = ms;
    }
    if let Some(speed) = args.opt_value_from_fn("--speed", parse_speed)? {
        options.speed = speed;
    }
    options.fail_all = args.contains("--fail-all");
    Ok(options)
}

fn parse_speed(text: &str) -> Result<f64, &'static str> {
    let speed: f64 = text.parse().map_err(|_invalid| "must be a number")?;
    let is_valid = speed.is_finite() && speed > 0.0;
    is_valid.then_some(speed).ok_or("must be above 0")
}

async fn run(options: worker::Options) -> io::Result<()> {
    let worker = worker::Worker::start(options)?;
    command::print_address("listening", worker.address())?;
    worker.finished().await
}
