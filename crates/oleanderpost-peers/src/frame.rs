//! [`Frame`]: one WebSocket message on a link, and its encoding.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Type of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "u64", into = "u64")]
pub(crate) enum FrameKind {
    /// A message that expects an answer.
    Request,
    /// A message that expects no answer.
    Send,
    /// The answer to the request with the same id.
    Reply,
    /// The request was handled and has no answer.
    NoAnswer,
    /// The request could not be decoded and was not handled.
    NotUnderstood,
    /// The request was not handled because a limit was reached.
    Busy,
    /// A chunk of a large message, except its last.
    Part,
    /// Requests a pong with the same id.
    Ping,
    /// Answers a ping.
    Pong,
    /// The sender writes no new messages on this connection.
    Goodbye,
    /// A type that a newer version added; it is ignored.
    Unknown(u64),
}

impl From<u64> for FrameKind {
    fn from(number: u64) -> Self {
        match number {
            0 => Self::Request,
            1 => Self::Send,
            2 => Self::Reply,
            3 => Self::NoAnswer,
            4 => Self::NotUnderstood,
            5 => Self::Busy,
            6 => Self::Part,
            7 => Self::Ping,
            8 => Self::Pong,
            9 => Self::Goodbye,
            _ => Self::Unknown(number),
        }
    }
}

impl From<FrameKind> for u64 {
    fn from(kind: FrameKind) -> Self {
        match kind {
            FrameKind::Request => 0,
            FrameKind::Send => 1,
            FrameKind::Reply => 2,
            FrameKind::NoAnswer => 3,
            FrameKind::NotUnderstood => 4,
            FrameKind::Busy => 5,
            FrameKind::Part => 6,
            FrameKind::Ping => 7,
            FrameKind::Pong => 8,
            FrameKind::Goodbye => 9,
            FrameKind::Unknown(number) => number,
        }
    }
}

/// One WebSocket message. The encoded field names are short because each frame carries them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Frame {
    /// Type of the frame.
    #[serde(rename = "k")]
    pub(crate) kind: FrameKind,
    /// Correlates an answer with its request.
    #[serde(rename = "i", default, skip_serializing_if = "is_zero")]
    pub(crate) id: u64,
    /// Whether this is the last chunk of a large message.
    #[serde(rename = "t", default, skip_serializing_if = "is_false")]
    pub(crate) is_last_chunk: bool,
    /// The encoded message, opaque to the link, or a chunk of it.
    #[serde(rename = "b", default, skip_serializing_if = "Bytes::is_empty")]
    pub(crate) body: Bytes,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

fn is_false(flag: &bool) -> bool {
    !*flag
}

impl Frame {
    /// A frame with the body `body`.
    pub(crate) fn with_body(kind: FrameKind, id: u64, body: Bytes) -> Self {
        Self {
            kind,
            id,
            is_last_chunk: false,
            body,
        }
    }
}

/// Encodes a value as CBOR.
pub(crate) fn encode<T: Serialize>(value: &T) -> Result<Bytes, String> {
    let mut buf = Vec::with_capacity(64);
    ciborium::into_writer(value, &mut buf).map_err(|e| e.to_string())?;
    Ok(buf.into())
}

/// Decodes a value from CBOR.
pub(crate) fn decode<T: serde::de::DeserializeOwned>(buf: &[u8]) -> Result<T, String> {
    ciborium::from_reader(buf).map_err(|e| e.to_string())
}
