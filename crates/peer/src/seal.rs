//! Message authentication and replay protection.
//!
//! Guards against a process that impersonates an instance without the cluster key or by replaying recorded messages.
//! Each message carries a hash keyed with the cluster key. Datagrams carry their sender's incarnation and a counter,
//! and [`ReplayWindow`] rejects counters that were already received. Connections derive their key from a nonce of each
//! side, so that no frame is valid on another connection.

use std::collections::BTreeMap;

use sequoiastream_core::name::Name;
use uuid::Uuid;

use crate::error::PeerError;

/// Length of a tag, in bytes.
pub const TAG_LEN: usize = 16;

/// Size of the replay window: counters less than this far behind the highest are accepted if not received before.
const WINDOW_SIZE: u64 = 64;

/// Key that authenticates messages between instances.
#[derive(Clone)]
pub struct ClusterKey([u8; 32]);

impl std::fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ClusterKey(..)")
    }
}

impl ClusterKey {
    /// Derives the key from the operators' secret.
    pub fn new(secret: &str) -> ClusterKey {
        ClusterKey(blake3::derive_key(
            "sequoiastream 2026-12 messages between instances",
            secret.as_bytes(),
        ))
    }

    /// Derives the key of one connection from the nonces of both sides.
    pub fn session(&self, nonces: &[u8]) -> ClusterKey {
        ClusterKey(*blake3::keyed_hash(&self.0, nonces).as_bytes())
    }

    /// Computes the tag of `message`.
    pub fn tag(&self, message: &[u8]) -> [u8; TAG_LEN] {
        let hash = blake3::keyed_hash(&self.0, message);
        let (tag, _) = hash
            .as_bytes()
            .split_first_chunk::<TAG_LEN>()
            .expect("a hash has 32 bytes");
        *tag
    }

    /// Appends the tag to `message`.
    pub fn seal(&self, mut message: Vec<u8>) -> Vec<u8> {
        let tag = self.tag(&message);
        message.extend_from_slice(&tag);
        message
    }

    /// Verifies and removes the tag.
    ///
    /// # Errors
    ///
    /// [`PeerError::Forged`] if the tag is missing or doesn't match.
    pub fn open<'a>(&self, sealed: &'a [u8]) -> Result<&'a [u8], PeerError> {
        let (message, tag) = sealed.split_last_chunk::<TAG_LEN>().ok_or(PeerError::Forged)?;
        // Compared as blake3 hashes, which takes constant time.
        let expected = blake3::keyed_hash(&self.0, &self.tag(message));
        match blake3::keyed_hash(&self.0, tag) == expected {
            true => Ok(message),
            false => Err(PeerError::Forged),
        }
    }
}

/// Rejects counters that were already received, for each sender.
#[derive(Debug, Default)]
pub struct ReplayWindow {
    senders: BTreeMap<Name, SenderWindow>,
}

#[derive(Debug, Clone, Copy)]
struct SenderWindow {
    incarnation: Uuid,
    highest: u64,
    mask: u64,
}

impl ReplayWindow {
    /// Creates an empty window.
    pub fn new() -> ReplayWindow {
        ReplayWindow::default()
    }

    /// Records a message. Incarnations are ordered by time (UUIDv7), so that messages of an earlier incarnation of the
    /// same sender are rejected.
    ///
    /// # Errors
    ///
    /// [`PeerError::Replayed`] if it was received before, is too old to tell, or is from an earlier incarnation.
    pub fn accept(&mut self, sender: &Name, incarnation: Uuid, counter: u64) -> Result<(), PeerError> {
        let fresh = SenderWindow {
            incarnation,
            highest: counter,
            mask: 1,
        };
        let Some(seen) = self.senders.get_mut(sender) else {
            self.senders.insert(sender.clone(), fresh);
            return Ok(());
        };
        if incarnation < seen.incarnation {
            return Err(PeerError::Replayed);
        }
        if incarnation > seen.incarnation {
            *seen = fresh;
            return Ok(());
        }
        seen.accept(counter)
    }
}

impl SenderWindow {
    fn accept(&mut self, counter: u64) -> Result<(), PeerError> {
        if counter > self.highest {
            let ahead = counter - self.highest;
            self.mask = if ahead < WINDOW_SIZE {
                self.mask << ahead
            } else {
                0
            };
            self.mask |= 1;
            self.highest = counter;
            return Ok(());
        }
        let behind = self.highest - counter;
        if behind >= WINDOW_SIZE || self.mask & (1 << behind) != 0 {
            return Err(PeerError::Replayed);
        }
        self.mask |= 1 << behind;
        Ok(())
    }
}
