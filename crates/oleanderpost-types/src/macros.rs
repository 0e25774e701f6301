//! Macros that define the identifier and unit newtypes.

/// Defines a newtype for a name: 1 to 64 characters of lower-case letters, digits, `.`, `_` and `-`.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Creates a name after validating `text`.
            ///
            /// # Errors
            ///
            /// [`Error::Name`](crate::Error::Name) when the text is empty, too long or contains another
            /// character.
            pub fn new(text: &str) -> crate::Result<Self> {
                crate::error::check_name(stringify!($name), text)?;
                Ok(Self(text.into()))
            }

            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.pad(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = crate::Error;

            fn from_str(text: &str) -> crate::Result<Self> {
                Self::new(text)
            }
        }

        impl TryFrom<String> for $name {
            type Error = crate::Error;

            fn try_from(text: String) -> crate::Result<Self> {
                Self::new(&text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    };
}

/// Defines a newtype for an unsigned number, such as a counter, a size or a rate.
macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone,
            Copy,
            Debug,
            Default,
            PartialEq,
            Eq,
            PartialOrd,
            Ord,
            Hash,
            serde::Serialize,
            serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name($inner);

        impl $name {
            /// Wraps a plain number.
            #[must_use]
            pub const fn new(value: $inner) -> Self {
                Self(value)
            }

            /// The plain number.
            #[must_use]
            pub const fn get(self) -> $inner {
                self.0
            }

            /// Adds two numbers; the result is the maximum value on overflow.
            #[must_use]
            pub const fn saturating_add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }

            /// Subtracts `other`; the result is zero on underflow.
            #[must_use]
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                std::fmt::Display::fmt(&self.0, f)
            }
        }

        impl std::str::FromStr for $name {
            type Err = crate::Error;

            fn from_str(text: &str) -> crate::Result<Self> {
                text.parse().map(Self).map_err(|_| crate::Error::Number {
                    kind: stringify!($name),
                    text: text.to_owned(),
                })
            }
        }
    };
}

/// Defines a newtype for a random identifier that is displayed as a UUID.
macro_rules! uuid_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone,
            Copy,
            Debug,
            PartialEq,
            Eq,
            PartialOrd,
            Ord,
            Hash,
            serde::Serialize,
            serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(uuid::Uuid);

        impl $name {
            /// Generates an identifier that contains the current wall-clock time (UUID version 7).
            #[must_use]
            pub fn new() -> Self {
                Self(uuid::Uuid::now_v7())
            }

            /// Wraps a UUID.
            #[must_use]
            pub const fn from_uuid(uuid: uuid::Uuid) -> Self {
                Self(uuid)
            }

            /// The UUID.
            #[must_use]
            pub const fn uuid(self) -> uuid::Uuid {
                self.0
            }
        }

        impl Default for $name {
            fn default() -> Self {
                Self::new()
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                std::fmt::Display::fmt(&self.0, f)
            }
        }

        impl std::str::FromStr for $name {
            type Err = crate::Error;

            fn from_str(text: &str) -> crate::Result<Self> {
                text.parse().map(Self).map_err(|_| crate::Error::Number {
                    kind: stringify!($name),
                    text: text.to_owned(),
                })
            }
        }
    };
}
