use model::ServiceName;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The stream name of each shard.
const SHARD_NAMES: [&str; ClaimShard::COUNT] = [
    "claims-0",
    "claims-1",
    "claims-2",
    "claims-3",
    "claims-4",
    "claims-5",
    "claims-6",
    "claims-7",
    "claims-8",
    "claims-9",
    "claims-10",
    "claims-11",
    "claims-12",
    "claims-13",
    "claims-14",
    "claims-15",
    "claims-16",
    "claims-17",
    "claims-18",
    "claims-19",
];

/// One of the streams over which the services' claims are sharded.
///
/// # Examples
///
/// ```
/// use lentilshift_streams::ClaimShard;
///
/// let shard = ClaimShard::of(&"filings".into());
/// assert!(shard.index() < ClaimShard::COUNT);
/// assert_eq!(shard, ClaimShard::of(&"filings".into()));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimShard(u8);

impl ClaimShard {
    /// The number of shards.
    pub const COUNT: usize = 20;

    /// Returns the shard of a service, derived from its name alone and so the same at every node.
    #[must_use]
    pub fn of(service: &ServiceName) -> Self {
        let digest = Sha256::digest(service.as_str());
        let number = u16::from_be_bytes([digest[0], digest[1]]);
        let index = usize::from(number) % Self::COUNT;
        Self(u8::try_from(index).unwrap_or_default())
    }

    /// Returns all shards.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..=u8::MAX).take(Self::COUNT).map(Self)
    }

    /// Returns the shard's number, below [`COUNT`](Self::COUNT).
    #[must_use]
    pub const fn index(self) -> usize {
        self.0 as usize
    }

    /// Returns the name of the shard's stream.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        SHARD_NAMES[self.index() % Self::COUNT]
    }
}
