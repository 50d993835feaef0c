//! The `lentilshift` command-line program.

mod app;
mod args;
mod command_error;
mod commands;
mod config_client;
mod contract_error_report;
mod demo;
mod exit_status;
mod process_log;
mod process_signals;
mod setting_error;
mod setting_reader;
mod setting_value;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match app::run_command(&args) {
        Ok(()) => exit_status::ExitStatus::Success.into(),
        Err(error) => {
            let status = error.exit_status();
            error.print();
            status.into()
        }
    }
}
