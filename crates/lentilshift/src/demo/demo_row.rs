use std::collections::BTreeMap;

use crate::demo::caller_connection::CallerAnswer;

/// A row of the result table: the answers to one group of requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemoRow {
    /// The description of the requests.
    pub(crate) label: &'static str,
    /// The number of requests served.
    pub(crate) served: usize,
    /// The numbers of requests refused, by reason.
    pub(crate) refused: BTreeMap<String, usize>,
    /// An additional remark.
    pub(crate) note: String,
    /// Whether the answers were as expected.
    pub(crate) is_as_expected: bool,
}

impl DemoRow {
    /// Counts the answers to the requests.
    pub(crate) fn count(label: &'static str, answers: &[CallerAnswer]) -> Self {
        let mut row = Self {
            label,
            ..Self::default()
        };
        for answer in answers {
            if answer.is_served() {
                row.served += 1;
            } else {
                *row.refused.entry(answer.reason()).or_default() += 1;
            }
        }
        row
    }

    /// Adds a note.
    #[must_use]
    pub(crate) fn with_note(mut self, note: impl Into<String>) -> Self {
        self.note = note.into();
        self
    }

    /// Sets whether the answers were as expected.
    #[must_use]
    pub(crate) const fn expect(mut self, is_as_expected: bool) -> Self {
        self.is_as_expected = is_as_expected;
        self
    }

    /// Returns the number of requests sent.
    pub(crate) fn sent(&self) -> usize {
        self.served + self.refused.values().sum::<usize>()
    }

    /// Returns the refusals as text, such as `3 key-missing`.
    pub(crate) fn refused_text(&self) -> String {
        let counts = self.refused.iter();
        let texts: Vec<String> = counts
            .map(|(reason, count)| format!("{count} {reason}"))
            .collect();
        if texts.is_empty() {
            return "-".to_owned();
        }
        texts.join(", ")
    }
}
