use std::collections::BTreeMap;
use std::fmt;

use model::TeamName;
use serde::{Deserialize, Serialize};

use crate::{ChangeError, ConfigSnapshot, KeyDigest, LogOffset, TextChange, TextDigest};

/// The number of a contract text, counted from 1; 0 stands for none.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigVersion(u64);

impl ConfigVersion {
    /// Stands for no text at all.
    pub const NONE: Self = Self(0);

    /// Creates a version.
    #[must_use]
    pub const fn new(version: u64) -> Self {
        Self(version)
    }

    /// Returns the version as a number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the version after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for ConfigVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// The content of a record of the configuration stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum ConfigRecord {
    /// Publishes the text after `base`.
    Publish {
        /// The version that the operator changed.
        base: ConfigVersion,
        /// The digest of the new text.
        digest: TextDigest,
        /// The new text.
        change: TextChange,
    },
    /// Grants a key to a team.
    Grant {
        /// The key's digest.
        digest: KeyDigest,
        /// The team that the key stands for.
        team: TeamName,
    },
    /// Withdraws a key for good.
    Withdraw {
        /// The key's digest.
        digest: KeyDigest,
    },
    /// Replaces text and keys at once, on a platform whose operators publish all of both.
    Replace(ConfigReplacement),
    /// Stands for a record that a later one had replaced before it was read.
    Superseded,
    /// Repeats the state, so that it outlives the records that led to it.
    Snapshot(ConfigSnapshot),
}

/// A text with all keys that hold from it on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigReplacement {
    /// The version that the operators gave it, above all earlier ones.
    pub version: ConfigVersion,
    /// The text.
    pub text: String,
    /// The keys by digest, with the teams that they stand for.
    pub keys: BTreeMap<KeyDigest, TeamName>,
}

impl ConfigRecord {
    /// Creates the publication of a new text in place of the one of version `base`.
    #[must_use]
    pub fn publish(base: ConfigVersion, old_text: &str, new_text: &str) -> Self {
        Self::Publish {
            base,
            digest: TextDigest::of_text(new_text),
            change: TextChange::between(old_text, new_text),
        }
    }
}

/// What became of a record, told alike by every reader of the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordOutcome {
    /// The text became this version.
    Accepted {
        /// The version of the text.
        version: ConfigVersion,
    },
    /// The text became this version but isn't valid, so an earlier one stays in force.
    Invalid {
        /// The version of the text.
        version: ConfigVersion,
        /// What is wrong with it.
        reason: String,
    },
    /// The base wasn't the newest version any more.
    Stale {
        /// The base that the record names.
        base: ConfigVersion,
        /// The newest version when the record was read.
        now: ConfigVersion,
    },
    /// The record doesn't lead from its base to a text.
    Broken {
        /// What is wrong with it.
        error: ChangeError,
    },
    /// The key stands for the team.
    KeyGranted,
    /// The key stands for another team.
    KeyTaken {
        /// The team that has the key.
        team: TeamName,
    },
    /// The key is withdrawn.
    KeyWithdrawn,
    /// The key was withdrawn before, so it can't be granted.
    KeyWithdrawnBefore,
    /// The state was repeated.
    Repeated {
        /// The offset that the state covers the stream to.
        covers: LogOffset,
    },
    /// A later record had replaced this one before it was read.
    Superseded,
    /// The record can't be understood.
    Unreadable,
    /// The record waits for a snapshot, since records before it are gone.
    Waiting,
}

impl RecordOutcome {
    /// Returns whether the record did what its writer wanted.
    #[must_use]
    pub const fn is_success(&self) -> bool {
        matches!(
            self,
            Self::Accepted { .. } | Self::KeyGranted | Self::KeyWithdrawn | Self::Repeated { .. }
        )
    }
}

impl fmt::Display for RecordOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted { version } => write!(formatter, "accepted as version {version}"),
            Self::Invalid { version, reason } => {
                write!(formatter, "version {version} is not in force: {reason}")
            }
            Self::Stale { base, now } => {
                write!(formatter, "rejected: base version {base}, now {now}")
            }
            Self::Broken { error } => write!(formatter, "rejected: {error}"),
            Self::KeyGranted => formatter.write_str("key granted"),
            Self::KeyTaken { team } => {
                write!(formatter, "rejected: the key belongs to team \"{team}\"")
            }
            Self::KeyWithdrawn => formatter.write_str("key withdrawn"),
            Self::KeyWithdrawnBefore => formatter
                .write_str("rejected: the key was withdrawn, which is for good; grant a new key"),
            Self::Repeated { .. } => formatter.write_str("state repeated"),
            Self::Superseded => formatter.write_str("replaced before it was read"),
            Self::Unreadable => formatter.write_str("rejected: the record can't be understood"),
            Self::Waiting => formatter.write_str("waiting for a snapshot"),
        }
    }
}
