use std::collections::BTreeMap;

use model::TeamName;

/// The time over which a team is given what it got too little, in milliseconds.
const REPAY_MS: f64 = 3_000.0;
/// The most that a team is owed or owes, as the time that its share is worth, in milliseconds.
const MAX_CREDIT_MS: f64 = 1_000.0;

/// What each team over its share was let in less than its share.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamCredits {
    used_ms: BTreeMap<Option<TeamName>, f64>,
    credits_ms: BTreeMap<Option<TeamName>, f64>,
}

impl TeamCredits {
    /// Counts work that was let in.
    pub(crate) fn charge(&mut self, team: Option<&TeamName>, work_ms: f64) {
        *self.used_ms.entry(team.cloned()).or_default() += work_ms;
    }

    /// Compares what the teams over their share were let in with their shares, in work a second.
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

    /// Returns what a team is let in more than its share, in work a second.
    pub(crate) fn rate(&self, team: Option<&TeamName>) -> f64 {
        let credit_ms = self.credits_ms.get(&team.cloned()).copied().unwrap_or(0.0);
        credit_ms * 1_000.0 / REPAY_MS
    }
}
