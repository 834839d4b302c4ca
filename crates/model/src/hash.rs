//! Rendezvous hashing. All instances compute the same ranks from the same names.

use std::hash::Hasher;

use twox_hash::XxHash64;

/// Returns the weight of `node` for `key`. The node with the highest weight ranks first.
#[must_use]
pub fn rendezvous(key: &str, node: &str) -> u64 {
    let mut hasher = XxHash64::with_seed(0);
    hasher.write(key.as_bytes());
    hasher.write_u8(0);
    hasher.write(node.as_bytes());
    hasher.finish()
}

/// Returns a hash of `parts` in this order. Parts that are divided differently have another hash.
#[must_use]
pub fn hash_parts(parts: &[&[u8]]) -> u64 {
    let mut hasher = XxHash64::with_seed(0);
    for part in parts {
        hasher.write_usize(part.len());
        hasher.write(part);
    }
    hasher.finish()
}

/// Returns the hash that [`hash_parts`] returns for `parts` and one more part, which is given in pieces.
#[must_use]
pub fn hash_parts_and_pieces<'a>(parts: &[&[u8]], pieces: impl Iterator<Item = &'a [u8]>) -> u64 {
    let mut hasher = XxHash64::with_seed(0);
    for part in parts {
        hasher.write_usize(part.len());
        hasher.write(part);
    }
    let pieces: Vec<&[u8]> = pieces.collect();
    hasher.write_usize(pieces.iter().map(|piece| piece.len()).sum());
    for piece in pieces {
        hasher.write(piece);
    }
    hasher.finish()
}

/// Sorts `nodes` by descending weight for `key`, and nodes of equal weight by name.
pub fn rendezvous_rank<T: AsRef<str>>(key: &str, nodes: &mut [T]) {
    nodes.sort_by(|a, b| {
        let (a, b) = (a.as_ref(), b.as_ref());
        rendezvous(key, b)
            .cmp(&rendezvous(key, a))
            .then_with(|| a.cmp(b))
    });
}
