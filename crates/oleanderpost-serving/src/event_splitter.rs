//! [`EventSplitter`].

use bytes::{Bytes, BytesMut};

/// A whole event of a stream, as its bytes came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its identifier, if it has a numeric one.
    pub id: Option<u64>,
    /// All its bytes, the blank line at its end included.
    pub bytes: Bytes,
}

/// Cuts the bytes of an event stream (`text/event-stream`) into whole events.
///
/// The bytes of an event stay as they came, so nothing but its end and its `id` field is looked at.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
}

impl EventSplitter {
    /// Takes in bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = event_end(&self.buf)?;
        let bytes = self.buf.split_to(end).freeze();
        Some(Event {
            id: event_id(&bytes),
            bytes,
        })
    }

    /// Bytes behind the last whole event.
    #[must_use]
    pub fn buffered_len(&self) -> usize {
        self.buf.len()
    }
}

/// Index behind the first blank line.
fn event_end(buf: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (i, &byte) in buf.iter().enumerate() {
        if byte != b'\n' {
            continue;
        }
        let line = &buf[line_start..i];
        if line.is_empty() || line == b"\r" {
            return Some(i + 1);
        }
        line_start = i + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|&byte| byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
