use std::ops::Range;

use crate::{ContractError, ContractFault, FaultKind};

/// The maximum number of faults that are reported for one text.
const MAX_FAULTS: usize = 100;

/// The faults found so far in one text.
pub(crate) struct FaultList<'t> {
    text: &'t str,
    faults: Vec<ContractFault>,
}

impl<'t> FaultList<'t> {
    pub(crate) const fn new(text: &'t str) -> Self {
        Self {
            text,
            faults: Vec::new(),
        }
    }

    /// Adds a fault. Beyond the maximum, a single [`FaultKind::TooManyFaults`] is added.
    pub(crate) fn push(&mut self, kind: FaultKind, span: Range<usize>) {
        let text_end = self.text.len();
        let (kind, span) = match self.faults.len() {
            0..MAX_FAULTS => (kind, span),
            MAX_FAULTS => (FaultKind::TooManyFaults(MAX_FAULTS), text_end..text_end),
            _ => return,
        };
        self.faults.push(ContractFault::new(kind, span, self.text));
    }

    pub(crate) const fn is_empty(&self) -> bool {
        self.faults.is_empty()
    }

    pub(crate) fn into_error(self, source_name: &str) -> ContractError {
        ContractError::new(source_name, self.text, self.faults)
    }
}

/// Truncates text from the contract for use in an error message.
pub(crate) fn shorten(text: &str) -> String {
    const MAX_SHOWN_CHARS: usize = 80;
    let mut shown: String = text.chars().take(MAX_SHOWN_CHARS).collect();
    if shown.len() < text.len() {
        shown.push('…');
    }
    shown
}
