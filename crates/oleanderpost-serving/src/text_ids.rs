//! Names and identifiers chosen by callers, operators or the platform: arbitrary text that is cheap to clone.

/// Defines a newtype around shared text.
macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Creates a value from text.
            #[must_use]
            pub fn new(text: &str) -> Self {
                Self(text.into())
            }

            /// The value as text.
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
            type Err = std::convert::Infallible;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Ok(Self::new(text))
            }
        }
    };
}

text_id! {
    /// Identifier of an upstream in the discovery store.
    UpstreamId
}

text_id! {
    /// Name of a group of upstreams that serve the same requests.
    ServiceName
}

text_id! {
    /// Name of a route.
    RouteName
}

text_id! {
    /// Identifier that a caller assigns to a request; a retry by the caller has another one.
    RequestId
}

text_id! {
    /// Identifier of a part of a prompt; requests with the same part share its tokens.
    PartId
}

text_id! {
    /// Name of a data centre.
    DataCentreName
}

text_id! {
    /// Name of a client account.
    AccountName
}
