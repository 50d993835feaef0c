use std::fmt;

use miette::{Diagnostic, NamedSource, SourceCode};

use crate::ContractFault;

/// The maximum number of faults that the one-line form lists.
const MAX_FAULTS_IN_LINE: usize = 8;

/// The error of parsing a contract text, with all of its faults.
///
/// Its `Display` form is a single line for logs. As a `miette` diagnostic it shows each fault below
/// the affected line of the text.
#[derive(Clone, Debug)]
pub struct ContractError {
    source: NamedSource<String>,
    faults: Vec<ContractFault>,
}

impl ContractError {
    pub(crate) fn new(source_name: &str, text: &str, mut faults: Vec<ContractFault>) -> Self {
        faults.sort_by_key(ContractFault::start);
        Self {
            source: NamedSource::new(source_name, text.to_owned()),
            faults,
        }
    }

    /// Returns the faults in the order of the text.
    #[must_use]
    pub fn faults(&self) -> &[ContractFault] {
        &self.faults
    }

    /// Returns the name of the text, usually its file name.
    #[must_use]
    pub fn source_name(&self) -> &str {
        self.source.name()
    }
}

impl fmt::Display for ContractError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.faults.len();
        let noun = if count == 1 { "fault" } else { "faults" };
        write!(formatter, "{} has {count} {noun}", self.source_name())?;
        for (index, fault) in self.faults.iter().take(MAX_FAULTS_IN_LINE).enumerate() {
            let separator = if index == 0 { ": " } else { "; " };
            write!(formatter, "{separator}{fault}")?;
        }
        match count.saturating_sub(MAX_FAULTS_IN_LINE) {
            0 => Ok(()),
            rest => write!(formatter, "; and {rest} more"),
        }
    }
}

impl std::error::Error for ContractError {}

impl Diagnostic for ContractError {
    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.source)
    }

    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        let faults = self.faults.iter();
        Some(Box::new(faults.map(|fault| fault as &dyn Diagnostic)))
    }
}
