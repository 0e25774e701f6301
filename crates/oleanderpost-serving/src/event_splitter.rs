//! [`EventSplitter`].

use bytes::Bytes;

/// Largest capacity that an empty buffer keeps, in bytes.
const MAX_IDLE_CAPACITY: usize = 16 << 10;

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
/// Events are forwarded unchanged, so only the end of an event and its `id` field are parsed. Each byte is looked at once,
/// however small the pieces are in which an event arrives.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: Vec<u8>,
    /// Index of the first byte that has not been returned as part of an event.
    event_start: usize,
    /// Index of the first byte of the current line.
    line_start: usize,
    /// Index of the first byte that has not been searched for the end of a line.
    search_start: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.drain(..self.event_start);
        self.line_start -= self.event_start;
        self.search_start -= self.event_start;
        self.event_start = 0;
        if self.buf.is_empty() && self.buf.capacity() > MAX_IDLE_CAPACITY {
            self.buf = Vec::new();
        }
        self.buf.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<Event> {
        loop {
            let unsearched = &self.buf[self.search_start..];
            let Some(line_len) = unsearched.iter().position(|byte| *byte == b'\n') else {
                self.search_start = self.buf.len();
                return None;
            };
            let line_end = self.search_start + line_len;
            let line = &self.buf[self.line_start..line_end];
            let is_blank = line.is_empty() || line == b"\r";
            (self.line_start, self.search_start) = (line_end + 1, line_end + 1);
            if is_blank {
                // A copy, so that a queued event keeps no more memory than it needs.
                let bytes = Bytes::copy_from_slice(&self.buf[self.event_start..=line_end]);
                self.event_start = line_end + 1;
                return Some(Event {
                    id: event_id(&bytes),
                    bytes,
                });
            }
        }
    }

    /// Number of buffered bytes that have not been returned as an event.
    #[must_use]
    pub fn buffered_len(&self) -> usize {
        self.buf.len() - self.event_start
    }

    /// Memory of the buffer, in bytes.
    #[must_use]
    pub fn capacity(&self) -> usize {
        self.buf.capacity()
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|&byte| byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
