//! Heads that were read from the beginning of one answer's head and the whole of another's.
//!
//! An upstream may send bytes that belong to no request, and stop within a head. If the head of the next answer follows on the
//! same connection, both are read as one: its status line becomes the reason or a header of the one before, whose status counts.

use http::response::Parts;
use hyper::ext::ReasonPhrase;

/// Start of a status line.
const VERSION: &[u8] = b"HTTP/1.";

/// Whether the reason or a header of `head` holds a status line.
pub(crate) fn holds_status_line(head: &Parts) -> bool {
    let reason = head.extensions.get::<ReasonPhrase>();
    let reason = reason.map(|reason| reason.as_bytes());
    let values = head.headers.values().map(|value| value.as_bytes());
    values.chain(reason).any(contains_status_line)
}

/// Whether `text` contains a version of HTTP that a status follows.
fn contains_status_line(text: &[u8]) -> bool {
    let length = VERSION.len() + 5;
    text.windows(length)
        .any(|window| match window.strip_prefix(VERSION) {
            Some([minor, b' ', status @ ..]) => {
                minor.is_ascii_digit() && status.iter().all(u8::is_ascii_digit)
            }
            _ => false,
        })
}
