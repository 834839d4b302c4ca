//! The bytes of a request body, in segments of equal size.

/// Size of a full segment, in bytes. Large bodies of different sizes that come and go leave no holes in
/// the memory of the process, which a single buffer for each would.
const SEGMENT_BYTES: usize = 64 * 1_024;

/// The bytes of a body. All segments but the last are full, so that equal bodies have equal segments.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BodyBytes {
    segments: Vec<Vec<u8>>,
    len: usize,
}

impl BodyBytes {
    /// Returns the number of bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether there are no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the segments in order.
    pub fn segments(&self) -> impl Iterator<Item = &[u8]> {
        self.segments.iter().map(Vec::as_slice)
    }

    /// Returns a copy of the bytes in one piece.
    #[must_use]
    pub fn to_vec(&self) -> Vec<u8> {
        self.segments.concat()
    }

    /// Returns the bytes in one piece. Each segment is freed once it is copied.
    #[must_use]
    pub fn into_vec(mut self) -> Vec<u8> {
        if self.segments.len() <= 1 {
            return self.segments.pop().unwrap_or_default();
        }
        let mut bytes = Vec::with_capacity(self.len);
        for segment in self.segments {
            bytes.extend_from_slice(&segment);
        }
        bytes
    }

    /// Appends bytes.
    pub fn push(&mut self, mut bytes: &[u8]) {
        self.len += bytes.len();
        while !bytes.is_empty() {
            let segment = self.open_segment();
            let count = bytes.len().min(SEGMENT_BYTES - segment.len());
            let (taken, rest) = bytes.split_at(count);
            segment.extend_from_slice(taken);
            bytes = rest;
        }
    }

    /// Returns the last segment if it has room, or else a new one.
    fn open_segment(&mut self) -> &mut Vec<u8> {
        let is_full = |segment: &Vec<u8>| segment.len() >= SEGMENT_BYTES;
        if self.segments.last().is_none_or(is_full) {
            // The first one grows as needed, since most bodies are small.
            let capacity = if self.segments.is_empty() {
                0
            } else {
                SEGMENT_BYTES
            };
            self.segments.push(Vec::with_capacity(capacity));
        }
        let last = self.segments.len() - 1;
        &mut self.segments[last]
    }
}

#[cfg(test)]
mod tests;
