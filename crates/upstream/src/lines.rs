//! Parser for the lines of an engine's streamed answer, independent of how the network splits them.

use std::collections::VecDeque;

use bytes::BytesMut;

use crate::error::UpstreamError;
use crate::wire::PieceBody;

/// Maximum length of a line, in bytes.
pub const MAX_LINE: usize = 64 * 1024;

/// Assembles lines from received bytes and parses each as a piece.
#[derive(Debug, Default)]
pub struct LineReader {
    buffer: BytesMut,
    ready: VecDeque<PieceBody>,
}

impl LineReader {
    /// Appends received bytes and parses the lines that they complete.
    ///
    /// # Errors
    ///
    /// [`UpstreamError::Malformed`] if a line is not a valid piece, or is longer than [`MAX_LINE`] bytes.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), UpstreamError> {
        self.buffer.extend_from_slice(bytes);
        while let Some(end) = self.buffer.iter().position(|&b| b == b'\n') {
            let line = self.buffer.split_to(end + 1);
            let piece = serde_json::from_slice(&line).map_err(|e| UpstreamError::Malformed(e.to_string()))?;
            self.ready.push_back(piece);
        }
        match self.buffer.len() > MAX_LINE {
            true => Err(UpstreamError::Malformed("line too long".to_string())),
            false => Ok(()),
        }
    }

    /// Whether a part of a line has arrived whose end has not.
    pub fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The next piece, if a complete one has arrived.
    pub fn pop(&mut self) -> Option<PieceBody> {
        self.ready.pop_front()
    }
}
