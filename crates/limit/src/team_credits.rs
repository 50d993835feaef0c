use std::collections::BTreeMap;

use model::TeamName;

/// The time over which a team is compensated for having been admitted less than its share, in
/// milliseconds.
const COMPENSATION_MS: f64 = 3_000.0;
/// The largest credit or debt of a team, as the time in which its share yields that much work, in
/// milliseconds.
const MAX_CREDIT_MS: f64 = 1_000.0;

/// For each team over its share, how far its admitted work has fallen short of its share.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamCredits {
    used_ms: BTreeMap<Option<TeamName>, f64>,
    credits_ms: BTreeMap<Option<TeamName>, f64>,
}

impl TeamCredits {
    /// Counts admitted work.
    pub(crate) fn charge(&mut self, team: Option<&TeamName>, work_ms: f64) {
        *self.used_ms.entry(team.cloned()).or_default() += work_ms;
    }

    /// Compares the admitted work of the teams over their share with their shares (in work per
    /// second), and updates their credits.
    pub(crate) fn settle(&mut self, shares: &BTreeMap<Option<TeamName>, f64>) {
        let used = std::mem::take(&mut self.used_ms);
        let used_by = |team: &Option<TeamName>| used.get(team).copied().unwrap_or(0.0);
        let used_sum: f64 = shares.keys().map(used_by).sum();
        let share_sum: f64 = shares.values().sum();
        self.credits_ms.retain(|team, _| shares.contains_key(team));
        for (team, share) in shares {
            let due_ms = used_sum * share / share_sum.max(f64::MIN_POSITIVE);
            let limit_ms = share * MAX_CREDIT_MS / 1_000.0;
            let credit_ms = self.credits_ms.entry(team.clone()).or_default();
            *credit_ms = (*credit_ms + due_ms - used_by(team)).clamp(-limit_ms, limit_ms);
        }
    }

    /// Returns the work per second that a team is admitted beyond its share; negative for a debt.
    pub(crate) fn rate(&self, team: Option<&TeamName>) -> f64 {
        let credit_ms = self.credits_ms.get(&team.cloned()).copied().unwrap_or(0.0);
        credit_ms * 1_000.0 / COMPENSATION_MS
    }
}
