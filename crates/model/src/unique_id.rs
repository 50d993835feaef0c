/// Defines a 128-bit identifier that is written as a UUID.
macro_rules! unique_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize,
            serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(uuid::Uuid);

        impl $name {
            /// Creates a version 4 UUID from 128 random bits.
            #[must_use]
            pub const fn from_random(bits: u128) -> Self {
                Self(uuid::Builder::from_random_bytes(bits.to_be_bytes()).into_uuid())
            }

            /// Creates an identifier with the given value.
            #[must_use]
            pub const fn from_number(number: u128) -> Self {
                Self(uuid::Uuid::from_u128(number))
            }

            /// Parses an identifier, or returns `None` when the text isn't a UUID.
            #[must_use]
            pub fn parse(text: &str) -> Option<Self> {
                uuid::Uuid::parse_str(text).ok().map(Self)
            }

            /// Returns the value of the identifier.
            #[must_use]
            pub const fn as_u128(self) -> u128 {
                self.0.as_u128()
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

pub(crate) use unique_id;
