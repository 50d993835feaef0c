/// Defines a name type backed by a reference-counted immutable string.
macro_rules! shared_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Creates a name without validating it.
            #[must_use]
            pub fn new(name: impl Into<std::sync::Arc<str>>) -> Self {
                Self(name.into())
            }

            /// Parses and validates a name from untrusted text.
            ///
            /// # Errors
            ///
            /// Returns a [`NameError`] when the text isn't 1 to 63 lower-case letters, digits
            /// and inner hyphens.
            pub fn parse(name: &str) -> Result<Self, NameError> {
                check_name(name).map(|()| Self::new(name))
            }

            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

pub(crate) use shared_name;
