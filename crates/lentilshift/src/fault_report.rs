use std::fmt;

use contract::ContractError;
use miette::{Diagnostic, SourceCode};

/// Shows each fault of a text under its line, with the count of faults as the heading.
#[derive(Debug)]
pub(crate) struct FaultReport(pub(crate) ContractError);

impl fmt::Display for FaultReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.0.faults().len();
        let noun = if count == 1 { "fault" } else { "faults" };
        write!(formatter, "{} has {count} {noun}", self.0.source_name())
    }
}

impl std::error::Error for FaultReport {}

impl Diagnostic for FaultReport {
    fn source_code(&self) -> Option<&dyn SourceCode> {
        self.0.source_code()
    }

    fn related<'a>(&'a self) -> Option<Box<dyn Iterator<Item = &'a dyn Diagnostic> + 'a>> {
        self.0.related()
    }
}
