use std::io::Read;

use contract::{FleetContract, MAX_TEXT_LEN};

use crate::command_error::CommandError;

/// The name that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// A contract text from a file, found valid.
pub(crate) struct ContractFile {
    /// The name of the file, for messages.
    pub(crate) name: String,
    /// The text as it stands in the file.
    pub(crate) text: String,
    /// What the text says.
    pub(crate) contract: FleetContract,
}

impl ContractFile {
    /// Reads and checks the text of a file.
    pub(crate) fn read(file: &str) -> Result<Self, CommandError> {
        let is_input = file == STANDARD_INPUT;
        let name = if is_input { "standard input" } else { file };
        let text = if is_input {
            read_text(std::io::stdin())
        } else {
            std::fs::File::open(file).and_then(read_text)
        };
        let text = text.map_err(|error| CommandError::ReadFile {
            file: name.to_owned(),
            error,
        })?;
        Ok(Self {
            name: name.to_owned(),
            contract: FleetContract::parse(name, &text)?,
            text,
        })
    }
}

/// Reads at most one byte more than is allowed, so that the check names the length.
fn read_text(source: impl Read) -> std::io::Result<String> {
    let max_bytes = MAX_TEXT_LEN as u64 + 1;
    let mut text = String::new();
    source.take(max_bytes).read_to_string(&mut text)?;
    Ok(text)
}
