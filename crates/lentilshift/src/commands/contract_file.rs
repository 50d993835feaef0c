use std::io::Read;

use contract::{FleetContract, MAX_TEXT_LEN};

use crate::command_error::CommandError;

/// The name that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// Reads and checks the contract text of a file.
pub(crate) fn read_contract(file: &str) -> Result<FleetContract, CommandError> {
    let text = read_text(file).map_err(|error| CommandError::ReadFile {
        file: file.to_owned(),
        error,
    })?;
    let source_name = if file == STANDARD_INPUT {
        "standard input"
    } else {
        file
    };
    Ok(FleetContract::parse(source_name, &text)?)
}

/// Reads at most one byte more than is allowed, so that the check names the length.
fn read_text(file: &str) -> std::io::Result<String> {
    let max_bytes = MAX_TEXT_LEN as u64 + 1;
    let mut text = String::new();
    if file == STANDARD_INPUT {
        std::io::stdin().take(max_bytes).read_to_string(&mut text)?;
    } else {
        let opened = std::fs::File::open(file)?;
        opened.take(max_bytes).read_to_string(&mut text)?;
    }
    Ok(text)
}
