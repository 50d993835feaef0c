use std::fmt;

use contract::ContractError;
use miette::{Diagnostic, SourceCode};

/// Reports each error of a contract text below its line; the heading is the number of errors.
#[derive(Debug)]
pub(crate) struct ContractErrorReport(pub(crate) ContractError);

impl fmt::Display for ContractErrorReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.0.faults().len();
        let noun = if count == 1 { "fault" } else { "faults" };
        write!(formatter, "{} has {count} {noun}", self.0.source_name())
    }
}

impl std::error::Error for ContractErrorReport {}

impl Diagnostic for ContractErrorReport {
    fn source_code(&self) -> Option<&dyn SourceCode> {
        self.0.source_code()
    }

    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        self.0.related()
    }
}
