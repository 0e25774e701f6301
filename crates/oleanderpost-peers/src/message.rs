//! [`Message`] and [`MessageKind`].

use serde::{Serialize, de::DeserializeOwned};

/// Names the kind of a message, by which links count messages.
pub trait MessageKind {
    /// The kind, one of a small fixed set of names.
    fn kind(&self) -> &'static str;
}

/// Bounds of a message type that can be sent over links.
///
/// Messages are encoded as CBOR with the serde implementation of the type. For compatibility between
/// versions, new fields need `#[serde(default)]` and types must not use `deny_unknown_fields`: an older
/// node ignores the field. A message with a variant that a node does not know is refused with
/// [`Error::NotUnderstood`](crate::Error::NotUnderstood); the link stays open.
pub trait Message: Serialize + DeserializeOwned + MessageKind + Send + Sync + 'static {}

impl<M> Message for M where M: Serialize + DeserializeOwned + MessageKind + Send + Sync + 'static {}
