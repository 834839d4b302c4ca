//! Digests of keys, which stand in for the keys in memory and between instances.

use sha2::{Digest, Sha256};

/// The first 128 bits of the SHA-256 digest of a key. A key cannot be computed from it, and a second
/// key with the same one cannot be found. The whole digest would make a configuration with ten thousand
/// keys twice as long as with the keys themselves, and a link of 10 Mbit/s would need 0.4 s for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; Self::BYTES]);

impl KeyDigest {
    /// Number of bytes.
    pub const BYTES: usize = 16;

    /// Returns the digest of `key`.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        let mut bytes = [0; Self::BYTES];
        bytes.copy_from_slice(&Sha256::digest(key)[..Self::BYTES]);
        Self(bytes)
    }

    /// Returns the digest with these bytes; `None` if their number is another.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Returns the bytes of the digest.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}
