//! A small stable hash: every instance and every build gets the same value.

/// FNV-1a over bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hash(u64);

impl Hash {
    /// Of nothing.
    pub const fn new() -> Hash {
        Hash(0xcbf2_9ce4_8422_2325)
    }

    /// Of what was hashed so far and `bytes`.
    pub fn with(self, bytes: &[u8]) -> Hash {
        let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        Hash(bytes.iter().fold(self.0, step))
    }

    /// The value, finished by a multiply-shift so that its high bits mix.
    pub fn value(self) -> u64 {
        mix(self.0)
    }
}

/// The hash of two hashes: that of many pairs is worked out for one request.
pub fn hash_pair(one: u64, other: u64) -> u64 {
    mix(mix(one ^ other.rotate_left(32)) ^ other)
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
