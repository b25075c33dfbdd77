//! Parser for server-sent events that returns complete events only.
//!
//! Failure guarded against: an engine fails in the middle of an event, and the caller receives the first half of it
//! followed by the same event from the engine that continues. Bytes are therefore buffered until the empty line that
//! ends their event.

use bytes::Bytes;
use bytes::BytesMut;

/// Maximum length of an event, in bytes.
pub const MAX_EVENT: usize = 1 << 20;

/// One complete event, as it was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, including the empty line that ends it.
    pub bytes: Bytes,
    /// Its id, if it has a numeric one.
    pub id: Option<u64>,
}

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: BytesMut,
    searched: usize,
}

impl EventReader {
    /// Creates a reader with an empty buffer.
    pub fn new() -> EventReader {
        EventReader::default()
    }

    /// Appends received bytes.
    pub fn push(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// The next event, if a complete one is buffered.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        let id = id(&bytes);
        Some(Event { bytes, id })
    }

    /// Whether the buffer holds an incomplete event.
    pub fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether the buffer exceeds [`MAX_EVENT`].
    pub fn is_too_long(&self) -> bool {
        self.buffer.len() > MAX_EVENT
    }

    fn find_end(&mut self) -> Option<usize> {
        let from = self.searched;
        let found = self.buffer[from..].windows(2).position(|w| w == b"\n\n");
        let crlf = self.buffer[from..].windows(4).position(|w| w == b"\r\n\r\n");
        let end = match (found, crlf) {
            (Some(lf), Some(crlf)) if crlf < lf => Some(crlf + 4),
            (Some(lf), _) => Some(lf + 2),
            (None, Some(crlf)) => Some(crlf + 4),
            (None, None) => None,
        };
        if end.is_none() {
            self.searched = self.buffer.len().saturating_sub(3);
        }
        Some(from + end?)
    }
}

fn id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|b| *b == b'\n');
    let value = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
