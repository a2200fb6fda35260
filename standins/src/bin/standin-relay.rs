//! TCP relay, as a process.

use std::io;
use std::net;
use std::process;

use bulrushtiller_standins::command;
use bulrushtiller_standins::relay;

const USAGE: &str = "\
Usage: standin-relay --to IP:PORT [options]

  --to IP:PORT         target of the connections
  --listen IP:PORT     default 127.0.0.1:0, a port from the OS
  --control IP:PORT    listen address of `POST /control`; default 127.0.0.1:0
";

struct Options {
    to: net::SocketAddr,
    listen: net::SocketAddr,
    control: net::SocketAddr,
}

fn main() -> process::ExitCode {
    command::main(USAGE, read, run)
}

fn read(args: &mut pico_args::Arguments) -> Result<Options, pico_args::Error> {
    let listen = args.opt_value_from_str("--listen")?;
    let control = args.opt_value_from_str("--control")?;
    Ok(Options {
        to: args.value_from_str("--to")?,
        listen: listen.unwrap_or(command::ANY_PORT),
        control: control.unwrap_or(command::ANY_PORT),
    })
}

async fn run(options: Options) -> io::Result<()> {
    let relay = relay::Relay::start(options.listen, options.to).await?;
    let control = relay.serve_control(options.control)?;
    command::print_address("control", control.address())?;
    command::print_address("listening", relay.address())?;
    control.finished().await
}
