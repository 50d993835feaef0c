#![expect(
    clippy::cast_precision_loss,
    reason = "counts and durations are far below 2^52"
)]

use std::fmt;

use crate::TrialScore;

/// The header of the table.
const HEADER: &str = "| firm | workload | node | goodput | others | recovery ms | worst team | \
     refused though free, of 10,000 | critical refused | of them before a lesser | wasted | served as told | told, s | tries |\n\
     |---|---|---|---|---|---|---|---|---|---|---|---|---|---|";

/// A row with the scores of several seeds.
#[derive(Clone, Debug)]
struct ScoreRow {
    firm: String,
    workload: String,
    node: String,
    scores: Vec<TrialScore>,
}

/// A Markdown table of scores; each cell has the median over the seeds and the worst value.
#[derive(Clone, Debug, Default)]
pub struct ScoreTable {
    rows: Vec<ScoreRow>,
}

impl ScoreTable {
    /// Adds a row with the scores of several seeds.
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
        writeln!(formatter, "{HEADER}")?;
        for row in &self.rows {
            writeln!(formatter, "{row}")?;
        }
        Ok(())
    }
}

impl fmt::Display for ScoreRow {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let higher_better = |value: fn(&TrialScore) -> f64| cell(&self.scores, value, false, 3);
        let lower_better =
            |value: fn(&TrialScore) -> f64, digits| cell(&self.scores, value, true, digits);
        let recovery = if self.scores.iter().all(|score| score.recovery_ms.is_none()) {
            "–".to_owned()
        } else {
            lower_better(|score| score.recovery_ms.unwrap_or(0) as f64, 0)
        };
        let retry_after_served = if self
            .scores
            .iter()
            .all(|score| score.retry_after_served.is_none())
        {
            "–".to_owned()
        } else {
            higher_better(|score| score.retry_after_served.unwrap_or(1.0))
        };
        write!(
            formatter,
            "| {} | {} | {} | {} | {} | {recovery} | {} | {} | {} | {} | {} | {retry_after_served} | {} | {} |",
            self.firm,
            self.workload,
            self.node,
            higher_better(|score| score.goodput),
            higher_better(|score| score.unrelated_served),
            higher_better(|score| score.worst_team_share),
            lower_better(|score| score.unnecessary_refusals * 10_000.0, 2),
            lower_better(|score| score.critical_refused as f64, 0),
            lower_better(|score| score.priority_inversions as f64, 0),
            lower_better(|score| score.wasted_share, 3),
            lower_better(|score| score.mean_retry_after_s, 1),
            lower_better(|score| score.attempts as f64, 0),
        )
    }
}

fn cell(
    scores: &[TrialScore],
    value: fn(&TrialScore) -> f64,
    is_lower_better: bool,
    digits: usize,
) -> String {
    let values = scores.iter().map(value).collect();
    let (median, worst) = median_and_worst(values, is_lower_better);
    format!("{median:.digits$} ({worst:.digits$})")
}

/// Returns the median and the worst of the values, or zeros if there are none.
#[must_use]
pub fn median_and_worst(mut values: Vec<f64>, is_lower_better: bool) -> (f64, f64) {
    values.sort_by(f64::total_cmp);
    let median = values.get(values.len() / 2).copied().unwrap_or(0.0);
    let worst = if is_lower_better {
        values.last()
    } else {
        values.first()
    };
    (median, worst.copied().unwrap_or(0.0))
}
