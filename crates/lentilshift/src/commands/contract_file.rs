use std::io::Read;

use contract::{FleetContract, MAX_TEXT_LEN};

use crate::command_error::CommandError;

/// The file name that selects standard input.
const STANDARD_INPUT: &str = "-";

/// A valid contract text, read from a file or from standard input.
pub(crate) struct ContractFile {
    /// The name of the file, as shown in messages.
    pub(crate) name: String,
    /// The unchanged text of the file.
    pub(crate) text: String,
    /// The contract that was parsed from the text.
    pub(crate) contract: FleetContract,
}

impl ContractFile {
    /// Reads and validates a file.
    pub(crate) fn read(file: &str) -> Result<Self, CommandError> {
        let is_input = file == STANDARD_INPUT;
        let name = if is_input { "standard input" } else { file };
        let text = if is_input {
            read_limited(std::io::stdin())
        } else {
            std::fs::File::open(file).and_then(read_limited)
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

/// Reads at most one byte more than is allowed, which is enough for the validation to reject the
/// length.
fn read_limited(source: impl Read) -> std::io::Result<String> {
    let max_bytes = MAX_TEXT_LEN as u64 + 1;
    let mut text = String::new();
    source.take(max_bytes).read_to_string(&mut text)?;
    Ok(text)
}
