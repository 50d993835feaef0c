use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// The content of a record: JSON text that the log doesn't interpret.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RecordBody(Arc<str>);

impl RecordBody {
    /// Creates a body from text.
    #[must_use]
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        Self(text.into())
    }

    /// Encodes a value.
    ///
    /// # Panics
    ///
    /// Panics when the value can't be serialized as JSON. All record types of this workspace can.
    #[must_use]
    pub fn encode<T: Serialize>(value: &T) -> Self {
        Self::new(serde_json::to_string(value).expect("record types are plain JSON"))
    }

    /// Decodes the value.
    ///
    /// # Errors
    ///
    /// Returns a [`BodyError`] when the text isn't valid JSON for the type.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, BodyError> {
        serde_json::from_str(&self.0).map_err(|error| BodyError(error.to_string()))
    }

    /// Returns the text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Why the content of a record can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BodyError(String);

impl fmt::Display for BodyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "the record can't be decoded: {}", self.0)
    }
}

impl std::error::Error for BodyError {}
