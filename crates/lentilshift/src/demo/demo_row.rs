use std::collections::BTreeMap;

use crate::demo::caller_connection::CallerAnswer;

/// What happened to some requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemoRow {
    /// What was sent.
    pub(crate) what: &'static str,
    /// The requests answered as asked.
    pub(crate) served: usize,
    /// The requests refused, by reason.
    pub(crate) refused: BTreeMap<String, usize>,
    /// What else is worth knowing.
    pub(crate) note: String,
    /// Whether everything was as promised.
    pub(crate) is_as_promised: bool,
}

impl DemoRow {
    /// Counts the answers to some requests.
    pub(crate) fn count(what: &'static str, answers: &[CallerAnswer]) -> Self {
        let mut row = Self {
            what,
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

    /// Sets whether everything was as promised.
    #[must_use]
    pub(crate) const fn expect(mut self, is_as_promised: bool) -> Self {
        self.is_as_promised = is_as_promised;
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
