use model::{CentreName, TeamName};
use xxhash_rust::xxh3::xxh3_64;

use crate::{TableRecord, TeamRate};

/// Buckets count in millionths of a token.
pub(crate) const MICROS_PER_TOKEN: u64 = 1_000_000;

/// The share of a team's rate and burst that one data centre allocates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TeamShare {
    /// Millionths of a token per millisecond.
    pub(crate) micros_per_ms: u64,
    /// The largest number of tokens, in whole tokens.
    pub(crate) burst: u64,
}

impl TeamShare {
    /// Computes the share of `centre`: the burst is split into whole tokens as evenly as possible,
    /// and the rate in proportion to that.
    pub(crate) fn of(table: &TableRecord, team: &TeamName, centre: &CentreName) -> Self {
        let Some(entry) = table.teams.iter().find(|entry| entry.team == *team) else {
            return Self::default();
        };
        let centres = allocating_centres(table, team, entry.rate);
        let Some(rank) = centres.iter().position(|other| *other == centre) else {
            return Self::default();
        };
        Self::split(entry.rate, rank as u64, centres.len() as u64)
    }

    fn split(rate: TeamRate, rank: u64, centre_count: u64) -> Self {
        let burst = u64::from(rate.burst);
        let own = (burst + centre_count - 1 - rank) / centre_count;
        let whole_micros_per_ms = u64::from(rate.rate_per_s) * (MICROS_PER_TOKEN / 1_000);
        Self {
            micros_per_ms: (whole_micros_per_ms * own).checked_div(burst).unwrap_or(0),
            burst: own,
        }
    }

    /// Returns the smaller rate and the smaller burst of two shares.
    pub(crate) fn min(self, other: Self) -> Self {
        Self {
            micros_per_ms: self.micros_per_ms.min(other.micros_per_ms),
            burst: self.burst.min(other.burst),
        }
    }
}

/// The smallest burst, in tokens, that a data centre allocates, unless it allocates the whole burst.
///
/// With a share of a few tokens, the bucket of one data centre is full and discards new tokens
/// while another data centre has none left and refuses requests.
const MIN_BURST: u32 = 40;

/// Returns the data centres that allocate a team's tokens, those with the largest share first.
///
/// A team with a small burst has a single allocating data centre. Data centres are ordered by a
/// hash with the team's name, so the choice doesn't change when other data centres come and go.
pub(crate) fn allocating_centres<'a>(
    table: &'a TableRecord,
    team: &TeamName,
    rate: TeamRate,
) -> Vec<&'a CentreName> {
    let mut centres: Vec<&CentreName> = table.centres.iter().collect();
    centres.sort_by_cached_key(|centre| {
        let name = format!("{team}/{centre}");
        xxh3_64(name.as_bytes())
    });
    let count = usize::try_from(rate.burst / MIN_BURST).unwrap_or(usize::MAX);
    centres.truncate(count.max(1));
    centres
}

/// Returns the slot that a team is hashed to.
pub(crate) fn slot_of(team: &TeamName, slots: u16) -> u16 {
    let slot = xxh3_64(team.as_str().as_bytes()) % u64::from(slots.max(1));
    u16::try_from(slot).unwrap_or(0)
}
