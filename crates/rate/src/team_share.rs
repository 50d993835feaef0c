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
        let Some(place) = table.centres.iter().position(|c| c == centre) else {
            return Self::default();
        };
        Self::split(
            entry.rate,
            turn(team, place, table.centres.len()),
            table.centres.len(),
        )
    }

    fn split(rate: TeamRate, turn: u64, centres: usize) -> Self {
        let (burst, centres) = (u64::from(rate.burst), centres as u64);
        let own = (burst + centres - 1 - turn) / centres;
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

/// Returns the place of a data centre in the order in which a team's tokens are dealt out.
fn turn(team: &TeamName, place: usize, centres: usize) -> u64 {
    let centres = centres as u64;
    (place as u64 + xxh3_64(team.as_str().as_bytes()) % centres) % centres
}

/// Returns the slot of a team.
pub(crate) fn slot_of(team: &TeamName, slots: u16) -> u16 {
    let slot = xxh3_64(team.as_str().as_bytes()) % u64::from(slots.max(1));
    u16::try_from(slot).unwrap_or(0)
}
