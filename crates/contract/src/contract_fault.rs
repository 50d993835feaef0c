use std::fmt;
use std::ops::Range;

use miette::{Diagnostic, LabeledSpan};

use crate::FaultKind;

/// One fault of a contract text with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ContractFault {
    kind: FaultKind,
    span: Range<usize>,
    line: usize,
    column: usize,
}

impl ContractFault {
    pub(crate) fn new(kind: FaultKind, span: Range<usize>, text: &str) -> Self {
        let before = text.get(..span.start).unwrap_or(text);
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Self {
            kind,
            span,
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }

    /// Returns the kind of the fault.
    #[must_use]
    pub const fn kind(&self) -> &FaultKind {
        &self.kind
    }

    /// Returns the line, counted from 1.
    #[must_use]
    pub const fn line(&self) -> usize {
        self.line
    }

    /// Returns the column, counted from 1.
    #[must_use]
    pub const fn column(&self) -> usize {
        self.column
    }

    pub(crate) const fn start(&self) -> usize {
        self.span.start
    }
}

impl fmt::Display for ContractFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "line {}, column {}: {}",
            self.line, self.column, self.kind
        )
    }
}

impl std::error::Error for ContractFault {}

impl Diagnostic for ContractFault {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new(self.kind.help()))
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let label = LabeledSpan::new_with_span(Some("here".into()), self.span.clone());
        Some(Box::new(std::iter::once(label)))
    }
}
