//! [`EventSplitter`].

use bytes::{Bytes, BytesMut};

/// A complete event of a stream, with its bytes unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Value of the `id` field, if it is a number.
    pub id: Option<u64>,
    /// All bytes of the event, including the blank line at its end.
    pub bytes: Bytes,
}

impl Event {
    /// Whether the event has a field. Comment lines and empty lines alone are not an event (WHATWG HTML, section
    /// 9.2.6).
    #[must_use]
    pub fn has_field(&self) -> bool {
        let mut lines = self.bytes.split(|&byte| byte == b'\n');
        lines.any(|line| !matches!(line, [] | [b'\r'] | [b':', ..]))
    }
}

/// Splits the bytes of an event stream (`text/event-stream`) into complete events.
///
/// Events are forwarded unchanged, so only the end of an event and its `id` field are parsed.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = event_end(&self.buf)?;
        let bytes = self.buf.split_to(end).freeze();
        Some(Event {
            id: event_id(&bytes),
            bytes,
        })
    }

    /// Number of buffered bytes that have not been returned as an event.
    #[must_use]
    pub fn buffered_len(&self) -> usize {
        self.buf.len()
    }
}

/// Index after the first blank line.
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
