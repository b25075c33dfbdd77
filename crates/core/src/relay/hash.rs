//! A small stable hash: the same value in every instance and every build.

/// FNV-1a hash of a byte sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hash(u64);

impl Hash {
    /// Creates the hash of the empty sequence.
    pub const fn new() -> Hash {
        Hash(0xcbf2_9ce4_8422_2325)
    }

    /// Appends `bytes` to the hashed sequence.
    pub fn with(self, bytes: &[u8]) -> Hash {
        let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        Hash(bytes.iter().fold(self.0, step))
    }

    /// Returns the hash, finalized by a multiply-shift so that its high bits are mixed.
    pub fn value(self) -> u64 {
        mix(self.0)
    }
}

/// Hashes a pair of hashes. It is cheap, since each request computes it for many pairs.
pub fn hash_pair(first: u64, second: u64) -> u64 {
    mix(mix(first ^ second.rotate_left(32)) ^ second)
}

fn mix(value: u64) -> u64 {
    let mixed = (value ^ (value >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed ^ (mixed >> 29)
}

impl Default for Hash {
    fn default() -> Hash {
        Hash::new()
    }
}
