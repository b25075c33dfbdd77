//! Envelope around each stored value that lets a writer recognize its own writes.
//!
//! Guards against a lost response to a write that took effect: on retry, the writer gets a conflict with its own write.
//! The envelope contains the writer's incarnation and the operation number; reading it back tells whether the stored
//! value is the one that was written.

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

/// Identifies one write of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operation {
    /// Generated at each start of a process.
    pub incarnation: Uuid,
    /// Sequence number of the write within the incarnation.
    pub number: u64,
}

/// Length of the envelope in bytes: incarnation (16) and number (8).
const HEADER_LEN: usize = 24;

/// Prepends `operation` to `value`.
pub fn wrap(operation: Operation, value: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_LEN + value.len());
    bytes.extend_from_slice(operation.incarnation.as_bytes());
    bytes.extend_from_slice(&operation.number.to_be_bytes());
    bytes.extend_from_slice(value);
    bytes
}

/// Splits stored bytes into operation and value; `None` if they are too short to hold an operation.
pub fn unwrap(bytes: &[u8]) -> Option<(Operation, &[u8])> {
    let (incarnation, rest) = bytes.split_first_chunk::<16>()?;
    let (number, value) = rest.split_first_chunk::<8>()?;
    let operation = Operation {
        incarnation: Uuid::from_bytes(*incarnation),
        number: u64::from_be_bytes(*number),
    };
    Some((operation, value))
}
