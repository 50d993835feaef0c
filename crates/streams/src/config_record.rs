use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use model::{CentreName, TeamName};
use serde::{Deserialize, Serialize};

use crate::{ChangeError, ConfigSnapshot, KeyDigest, LogOffset, TextChange, TextDigest};

/// The version number of a contract text, counted from 1; 0 means no text.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigVersion(u64);

impl ConfigVersion {
    /// The version before the first text.
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
    /// Publishes a new text that replaces version `base`.
    Publish {
        /// The version that the new text is based on.
        base: ConfigVersion,
        /// The digest of the new text.
        digest: TextDigest,
        /// The new text, as a change of the base text.
        change: TextChange,
    },
    /// Grants a key to a team.
    Grant {
        /// The key's digest.
        digest: KeyDigest,
        /// The team that the key belongs to.
        team: TeamName,
    },
    /// Withdraws a key permanently.
    Withdraw {
        /// The key's digest.
        digest: KeyDigest,
    },
    /// Replaces the text and all keys together, on a platform whose operators always publish both
    /// in full.
    Replace(ConfigReplacement),
    /// Begins or ends the evacuation of a data centre, whose backend servers get no requests.
    Evacuate {
        /// The data centre.
        centre: CentreName,
        /// Whether it is evacuated from now on.
        is_evacuated: bool,
    },
    /// Takes the position of a record that was replaced by a later one before it was read.
    Superseded,
    /// Holds the complete state, so that it outlives the records it was built from.
    Snapshot(ConfigSnapshot),
}

/// A text together with all keys valid from this version on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigReplacement {
    /// The version assigned by the operators, higher than all earlier ones.
    pub version: ConfigVersion,
    /// The text.
    pub text: String,
    /// The team of each key, by key digest.
    pub keys: BTreeMap<KeyDigest, TeamName>,
    /// All data centres that are evacuated, or `None` if the record doesn't say.
    #[serde(default)]
    pub evacuated: Option<BTreeSet<CentreName>>,
}

impl ConfigRecord {
    /// Creates a record that publishes `new_text` in place of `old_text`, the text of version
    /// `base`.
    #[must_use]
    pub fn publish(base: ConfigVersion, old_text: &str, new_text: &str) -> Self {
        Self::Publish {
            base,
            digest: TextDigest::of_text(new_text),
            change: TextChange::between(old_text, new_text),
        }
    }
}

/// The effect of a record, the same for every reader of the stream.
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
        /// The reason.
        reason: String,
    },
    /// The base was no longer the newest version.
    Stale {
        /// The base named by the record.
        base: ConfigVersion,
        /// The newest version when the record was read.
        now: ConfigVersion,
    },
    /// The change can't be applied to the base text.
    Broken {
        /// The reason.
        error: ChangeError,
    },
    /// The key belongs to the team.
    KeyGranted,
    /// The key already belongs to another team.
    KeyTaken {
        /// The team that owns the key.
        team: TeamName,
    },
    /// The key is withdrawn.
    KeyWithdrawn,
    /// The key was withdrawn earlier, so it can't be granted.
    KeyWithdrawnBefore,
    /// The data centre is evacuated.
    CentreEvacuated,
    /// The evacuation of the data centre has ended.
    CentreReturned,
    /// The record was a snapshot of the state.
    Repeated {
        /// The offset up to which the snapshot covers the stream.
        covers: LogOffset,
    },
    /// The record was replaced by a later one before it was read.
    Superseded,
    /// The record can't be decoded.
    Unreadable,
    /// The record is buffered until a snapshot arrives, because records before it were removed from
    /// the log.
    Waiting,
}

impl RecordOutcome {
    /// Returns whether the record had the effect that its writer intended.
    #[must_use]
    pub const fn is_success(&self) -> bool {
        matches!(
            self,
            Self::Accepted { .. }
                | Self::KeyGranted
                | Self::KeyWithdrawn
                | Self::CentreEvacuated
                | Self::CentreReturned
                | Self::Repeated { .. }
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
            Self::KeyWithdrawnBefore => {
                formatter.write_str("rejected: the key was withdrawn permanently; grant a new key")
            }
            Self::CentreEvacuated => formatter.write_str("data centre evacuated"),
            Self::CentreReturned => formatter.write_str("data centre in use again"),
            Self::Repeated { .. } => formatter.write_str("state snapshot recorded"),
            Self::Superseded => {
                formatter.write_str("replaced by a later record before it was read")
            }
            Self::Unreadable => formatter.write_str("rejected: the record can't be decoded"),
            Self::Waiting => formatter.write_str("waiting for a snapshot"),
        }
    }
}
