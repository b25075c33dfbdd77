//! Keyed hashes of messages, and refusal of replayed ones.
//!
//! Failure guarded against: a process without the cluster key, or one that recorded old messages, speaks as an
//! instance. Each message carries a hash keyed with the cluster key. Datagrams carry their sender's
//! incarnation and a counter, and [`ReplayWindow`] refuses a counter that was seen. Connections mix a nonce of
//! either side into their key, so that no frame fits another connection.

use std::collections::BTreeMap;

use sequoiastream_core::name::Name;
use uuid::Uuid;

use crate::error::PeerError;

/// Bytes of a tag.
pub const TAG_LEN: usize = 16;

/// Counters behind the highest one that are still accepted, if they were not seen.
const WINDOW_SIZE: u64 = 64;

/// Key of the messages between instances.
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

    /// The key of one connection, from a nonce of either side.
    pub fn session(&self, nonces: &[u8]) -> ClusterKey {
        ClusterKey(*blake3::keyed_hash(&self.0, nonces).as_bytes())
    }

    /// The tag of `message`.
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

    /// Checks and removes the tag.
    ///
    /// # Errors
    ///
    /// [`PeerError::Forged`] if the tag doesn't fit.
    pub fn open<'a>(&self, sealed: &'a [u8]) -> Result<&'a [u8], PeerError> {
        let (message, tag) = sealed.split_last_chunk::<TAG_LEN>().ok_or(PeerError::Forged)?;
        // Compared as hashes, in constant time.
        let expected = blake3::keyed_hash(&self.0, &self.tag(message));
        match blake3::keyed_hash(&self.0, tag) == expected {
            true => Ok(message),
            false => Err(PeerError::Forged),
        }
    }
}

/// Refuses counters that were seen, for each sender.
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
    /// A window that has seen nothing.
    pub fn new() -> ReplayWindow {
        ReplayWindow::default()
    }

    /// Takes note of a message. Incarnations are ordered by time (UUIDv7), so that an earlier one of the same
    /// sender is refused.
    ///
    /// # Errors
    ///
    /// [`PeerError::Replayed`] if it was seen, is too old to tell, or is of an earlier incarnation.
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
