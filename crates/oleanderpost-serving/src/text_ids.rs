//! Names that other parties choose: any text, cheap to copy.

/// Defines a name that wraps shared text.
macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Wraps `text`.
            #[must_use]
            pub fn new(text: &str) -> Self {
                Self(text.into())
            }

            /// The name as text.
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
    /// Identifier of one start of an upstream.
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
    /// Identifier that a caller gives to one attempt at a request.
    RequestId
}

text_id! {
    /// Name of a data centre.
    DataCentreName
}

text_id! {
    /// Name of a client account.
    AccountName
}
