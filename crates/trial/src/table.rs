#![expect(
    clippy::cast_precision_loss,
    reason = "counts and spans are far below 2^52"
)]

use std::fmt;

use crate::TrialScore;

/// The columns of every table.
const HEAD: &str = "| firm | workload | node | goodput | others | recovery ms | worst team | \
     refused though free, of 10,000 | critical refused | of them before a lesser | wasted | served as told | told, s | tries |\n\
     |---|---|---|---|---|---|---|---|---|---|---|---|---|---|";

/// One row: the scores of several seeds.
#[derive(Clone, Debug)]
struct ScoreRow {
    firm: String,
    workload: String,
    node: String,
    scores: Vec<TrialScore>,
}

/// A table of scores in Markdown; each cell has the median and the worst seed.
#[derive(Clone, Debug, Default)]
pub struct ScoreTable {
    rows: Vec<ScoreRow>,
}

impl ScoreTable {
    /// Adds the scores of several seeds as a row.
    pub fn add(&mut self, firm: &str, workload: &str, node: &str, scores: Vec<TrialScore>) {
        self.rows.push(ScoreRow {
            firm: firm.to_owned(),
            workload: workload.to_owned(),
            node: node.to_owned(),
            scores,
        });
    }
}

impl fmt::Display for ScoreTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "{HEAD}")?;
        for row in &self.rows {
            writeln!(formatter, "{row}")?;
        }
        Ok(())
    }
}

impl fmt::Display for ScoreRow {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let high = |value: fn(&TrialScore) -> f64| cell(&self.scores, value, false, 3);
        let low = |value: fn(&TrialScore) -> f64, digits| cell(&self.scores, value, true, digits);
        let recovery = if self.scores.iter().all(|score| score.recovery_ms.is_none()) {
            "–".to_owned()
        } else {
            low(|score| score.recovery_ms.unwrap_or(0) as f64, 0)
        };
        let told = if self.scores.iter().all(|score| score.told_served.is_none()) {
            "–".to_owned()
        } else {
            high(|score| score.told_served.unwrap_or(1.0))
        };
        write!(
            formatter,
            "| {} | {} | {} | {} | {} | {recovery} | {} | {} | {} | {} | {} | {told} | {} | {} |",
            self.firm,
            self.workload,
            self.node,
            high(|score| score.goodput),
            high(|score| score.spared),
            high(|score| score.worst_team),
            low(|score| score.wrongful * 10_000.0, 2),
            low(|score| score.critical_refused as f64, 0),
            low(|score| score.inverted as f64, 0),
            low(|score| score.wasted, 3),
            low(|score| score.told_s, 1),
            low(|score| score.tries as f64, 0),
        )
    }
}

fn cell(
    scores: &[TrialScore],
    value: fn(&TrialScore) -> f64,
    is_low_good: bool,
    digits: usize,
) -> String {
    let values = scores.iter().map(value).collect();
    let (median, worst) = median_and_worst(values, is_low_good);
    format!("{median:.digits$} ({worst:.digits$})")
}

/// Returns the median and the worst of some values, or 0 for none.
#[must_use]
pub fn median_and_worst(mut values: Vec<f64>, is_low_good: bool) -> (f64, f64) {
    values.sort_by(f64::total_cmp);
    let median = values.get(values.len() / 2).copied().unwrap_or(0.0);
    let worst = if is_low_good {
        values.last()
    } else {
        values.first()
    };
    (median, worst.copied().unwrap_or(0.0))
}
