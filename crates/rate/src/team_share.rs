use model::{CentreName, TeamName};
use xxhash_rust::xxh3::xxh3_64;

use crate::{TableRecord, TeamRate};

/// Parts of one token.
pub(crate) const TOKEN_PARTS: u64 = 1_000_000;

/// The part of a team's rate and burst that one data centre has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TeamShare {
    /// Token parts per millisecond.
    pub(crate) parts_per_ms: u64,
    /// Whole tokens.
    pub(crate) burst: u64,
}

impl TeamShare {
    /// Computes the share of `centre`: whole tokens dealt out in turn, the rate in proportion.
    pub(crate) fn of(table: &TableRecord, team: &TeamName, centre: &CentreName) -> Self {
        let Some(entry) = table.teams.iter().find(|entry| entry.team == *team) else {
            return Self::default();
        };
        let homes = homes_of(table, team, entry.rate);
        let Some(place) = homes.iter().position(|home| *home == centre) else {
            return Self::default();
        };
        Self::split(entry.rate, place as u64, homes.len() as u64)
    }

    fn split(rate: TeamRate, turn: u64, homes: u64) -> Self {
        let burst = u64::from(rate.burst);
        let own = (burst + homes - 1 - turn) / homes;
        let whole_parts_per_ms = u64::from(rate.rate_per_s) * (TOKEN_PARTS / 1_000);
        Self {
            parts_per_ms: (whole_parts_per_ms * own).checked_div(burst).unwrap_or(0),
            burst: own,
        }
    }

    /// Returns the smaller of both in rate and in burst.
    pub(crate) fn min(self, other: Self) -> Self {
        Self {
            parts_per_ms: self.parts_per_ms.min(other.parts_per_ms),
            burst: self.burst.min(other.burst),
        }
    }
}

/// The smallest burst of a team that one data centre holds, unless it holds the whole.
///
/// A share of a few tokens overflows in one data centre while requests are refused for want of
/// tokens in another.
const MIN_BURST: u32 = 40;

/// Returns the data centres that hold a team's tokens, the one with the most first.
///
/// A small team's tokens lie in one place. Which one depends on the team and stays the same while
/// that data centre is there, whichever others come and go.
pub(crate) fn homes_of<'a>(
    table: &'a TableRecord,
    team: &TeamName,
    rate: TeamRate,
) -> Vec<&'a CentreName> {
    let mut homes: Vec<&CentreName> = table.centres.iter().collect();
    homes.sort_by_cached_key(|centre| {
        let name = format!("{team}/{centre}");
        xxh3_64(name.as_bytes())
    });
    let count = usize::try_from(rate.burst / MIN_BURST).unwrap_or(usize::MAX);
    homes.truncate(count.max(1));
    homes
}

/// Returns the slot of a team.
pub(crate) fn slot_of(team: &TeamName, slots: u16) -> u16 {
    let slot = xxh3_64(team.as_str().as_bytes()) % u64::from(slots.max(1));
    u16::try_from(slot).unwrap_or(0)
}
