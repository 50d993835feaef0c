use ::node::run_loop;
use compio::runtime::Runtime;
use gumdrop::Options;

use crate::args::{AppArgs, AppCommand};
use crate::command_error::CommandError;
use crate::commands::{check, demo, dump, evacuate, key, node, publish, show};
use crate::exit_status::ExitStatus;

/// Parses the command line and runs the selected command.
pub(crate) fn run_command(args: &[String]) -> Result<(), CommandError> {
    let args = AppArgs::parse_args_default(args)?;
    if args.help_requested() {
        print_help(&args);
        return Ok(());
    }
    if args.version {
        println!("lentilshift {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let command = args.command.ok_or(CommandError::NoCommand(""))?;
    let runtime = Runtime::new().map_err(CommandError::Runtime)?;
    run_loop(&runtime, dispatch(&command))
}

async fn dispatch(command: &AppCommand) -> Result<(), CommandError> {
    match command {
        AppCommand::Node(args) => node::run_node(args).await,
        AppCommand::Check(args) => check::run_check(args).await,
        AppCommand::Publish(args) => publish::run_publish(args).await,
        AppCommand::Show(args) => show::run_show(args).await,
        AppCommand::Key(args) => key::run_key(args).await,
        AppCommand::Evacuate(args) => evacuate::run_evacuate(args).await,
        AppCommand::Dump(args) => dump::run_dump(args).await,
        AppCommand::Demo(args) => demo::run_demo(args).await,
    }
}

/// Prints the help of the innermost command on the command line.
fn print_help(args: &AppArgs) {
    let mut name = "lentilshift".to_owned();
    let mut command: &dyn Options = args;
    while let Some(inner) = command.command() {
        name.push(' ');
        name.push_str(inner.command_name().unwrap_or_default());
        command = inner;
    }
    println!("Usage: {name} [OPTIONS]\n\n{}", command.self_usage());
    if let Some(list) = command.self_command_list() {
        println!("\nCommands:\n{list}");
    }
    println!(
        "\nEach option --some-name can also be set as LENTILSHIFT_SOME_NAME; the option takes precedence."
    );
    println!("\nExit codes:\n{}", ExitStatus::MEANINGS);
}
