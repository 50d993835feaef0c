//! Measures nodes as separate processes under load over the loopback interface.
//!
//! Build the node first: `cargo build --release -p lentilshift`. Then run
//! `cargo run --release -p lentilshift-load -- latency`, or another of the commands.

mod byte_relay;
mod control;
mod fleet_plan;
mod latency;
mod load_client;
mod load_error;
mod load_fleet;
mod local_fleet;
mod memory;
mod node_child;
mod open_load;
mod overload;
mod router_cost;
mod standin_thread;
mod throughput;

use std::process::ExitCode;

use gumdrop::Options;

use crate::load_error::LoadError;

/// Measures nodes as separate processes under load over the loopback interface.
#[derive(Debug, Options)]
struct LoadArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "repetitions of each measurement", default = "3")]
    repeats: u32,
    #[options(command)]
    command: Option<LoadCommand>,
}

/// The commands.
#[derive(Debug, Options)]
enum LoadCommand {
    #[options(help = "latency added by paths through nodes to a direct call")]
    Latency(CommandArgs),
    #[options(help = "requests per second and processor time per request of a node")]
    Throughput(CommandArgs),
    #[options(help = "memory of a node: idle, with connections, links and large bodies")]
    Memory(CommandArgs),
    #[options(help = "processor time, traffic and memory of idle nodes, by size of the fleet")]
    Control(CommandArgs),
    #[options(help = "memory and processor time of routers to all services, by size of the fleet")]
    Routers(CommandArgs),
    #[options(help = "goodput and recovery under overload")]
    Overload(CommandArgs),
}

/// A command without options of its own.
#[derive(Debug, Options)]
struct CommandArgs {
    #[options(help = "print this help")]
    help: bool,
}

#[compio::main]
async fn main() -> ExitCode {
    let args = LoadArgs::parse_args_default_or_exit();
    match run(&args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: &LoadArgs) -> Result<(), LoadError> {
    match &args.command {
        Some(LoadCommand::Latency(_)) => latency::measure(args.repeats).await,
        Some(LoadCommand::Throughput(_)) => throughput::measure(args.repeats).await,
        Some(LoadCommand::Memory(_)) => memory::measure(args.repeats).await,
        Some(LoadCommand::Control(_)) => control::measure(args.repeats).await,
        Some(LoadCommand::Routers(_)) => router_cost::measure(args.repeats),
        Some(LoadCommand::Overload(_)) => overload::measure(args.repeats).await,
        None => {
            println!("{}", LoadArgs::usage());
            Ok(())
        }
    }
}
