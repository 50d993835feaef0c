use std::collections::BTreeSet;

use model::CentreName;
use serde::{Deserialize, Serialize};

use crate::{ConfigVersion, KeyFold, LogOffset};

/// The complete state of the configuration stream before an offset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    /// The offset of the first record that isn't part of the state.
    pub covers: LogOffset,
    /// The newest version.
    pub version: ConfigVersion,
    /// The text of the newest version.
    pub text: String,
    /// The last valid version, when the newest isn't valid.
    pub valid_version: ConfigVersion,
    /// The text of the last valid version, when the newest isn't valid.
    pub valid_text: Option<String>,
    /// The keys granted and withdrawn.
    pub keys: KeyFold,
    /// Whether each record of the stream replaces the complete state.
    #[serde(default)]
    pub is_replaced: bool,
    /// The data centres that are evacuated.
    #[serde(default)]
    pub evacuated: BTreeSet<CentreName>,
}
