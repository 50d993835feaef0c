use http::{HeaderMap, HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};

/// The HTTP headers of a call or an answer, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HeaderList(Vec<(String, Vec<u8>)>);

impl HeaderList {
    /// Returns the number of headers.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there are no headers.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the first valid value of a header; the name is matched case-insensitively.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<HeaderValue> {
        let named = self.0.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        let mut values = named.map(|(_, value)| HeaderValue::from_bytes(value));
        values.find_map(Result::ok)
    }

    /// Returns the headers as a map; headers with an invalid name or value are left out.
    #[must_use]
    pub fn to_map(&self) -> HeaderMap {
        let mut map = HeaderMap::with_capacity(self.0.len());
        for (name, value) in &self.0 {
            let name = HeaderName::from_bytes(name.as_bytes());
            let value = HeaderValue::from_bytes(value);
            if let (Ok(name), Ok(value)) = (name, value) {
                map.append(name, value);
            }
        }
        map
    }
}

impl From<&HeaderMap> for HeaderList {
    fn from(map: &HeaderMap) -> Self {
        let pairs = map.iter();
        Self(
            pairs
                .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
                .collect(),
        )
    }
}
