//! What is wrapped around each stored value so that its writer can recognize it.
//!
//! Failure guarded against: the answer to a write is lost after the write took effect. The writer then sees a
//! conflict on its own write when it tries again. The envelope names the writer's incarnation and its
//! operation number; reading it back tells whether the stored value is the one that was written.

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

/// One write of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operation {
    /// Drawn anew at each start of a process.
    pub incarnation: Uuid,
    /// Counts the writes of that incarnation.
    pub number: u64,
}

const HEADER_LEN: usize = 24;

/// Puts `value` behind the operation that writes it.
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
