use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ClaimShard;

/// A stream of the platform's log. Records are ordered within a stream, not across streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogStream {
    /// Contract texts, key grants and key withdrawals.
    Config,
    /// Membership announcements of nodes.
    Members,
    /// Tables that divide the teams' rates between data centres, and leases of allocators.
    Rates,
    /// Claims of calls that must run at most once, for the services of one shard.
    Claims(ClaimShard),
}

impl LogStream {
    /// Returns all streams.
    pub fn all() -> impl Iterator<Item = Self> {
        let single = [Self::Config, Self::Members, Self::Rates];
        single
            .into_iter()
            .chain(ClaimShard::all().map(Self::Claims))
    }

    /// Returns the name used in URL paths and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Members => "members",
            Self::Rates => "rates",
            Self::Claims(shard) => shard.as_str(),
        }
    }

    /// Parses a name, or returns `None` when there is no such stream.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        Self::all().find(|stream| stream.as_str() == name)
    }
}

impl fmt::Display for LogStream {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
