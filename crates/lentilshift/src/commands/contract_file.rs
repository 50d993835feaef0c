use std::io::Read;

use contract::{FleetContract, MAX_TEXT_LEN};

use crate::command_error::CommandError;

/// The file name that selects standard input.
const STANDARD_INPUT: &str = "-";

/// A valid contract text, read from a file or from standard input.
pub(crate) struct ContractFile {
    /// The name of the file, as shown in messages.
    pub(crate) name: String,
    /// The contract text.
    pub(crate) text: String,
    /// The contract that was parsed from the text.
    pub(crate) contract: FleetContract,
}

impl ContractFile {
    /// Reads and validates a contract text.
    pub(crate) fn read(file: &str) -> Result<Self, CommandError> {
        let (name, text) = read_text(file)?;
        Self::parse(name, text)
    }

    /// Reads and validates a contract text, or a configuration of the users' platform, which is
    /// converted to one.
    pub(crate) fn read_either(file: &str) -> Result<Self, CommandError> {
        let (name, text) = read_text(file)?;
        // A contract text can't begin with a brace.
        if !text.trim_start().starts_with('{') {
            return Self::parse(name, text);
        }
        match platform::read_config(text.as_bytes()) {
            Ok(config) => Self::parse(name, config.text),
            Err(error) => Err(CommandError::InvalidConfig { file: name, error }),
        }
    }

    fn parse(name: String, text: String) -> Result<Self, CommandError> {
        Ok(Self {
            contract: FleetContract::parse(&name, &text)?,
            name,
            text,
        })
    }
}

/// Returns the name of a file, as shown in messages, and its text.
fn read_text(file: &str) -> Result<(String, String), CommandError> {
    let is_input = file == STANDARD_INPUT;
    let name = if is_input { "standard input" } else { file };
    let text = if is_input {
        read_limited(std::io::stdin())
    } else {
        std::fs::File::open(file).and_then(read_limited)
    };
    match text {
        Ok(text) => Ok((name.to_owned(), text)),
        Err(error) => Err(CommandError::ReadFile {
            file: name.to_owned(),
            error,
        }),
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
