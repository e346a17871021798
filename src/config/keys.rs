//! Lookup of keys by digest.

use std::sync::Arc;

use subtle::ConstantTimeEq;
use xxhash_rust::xxh3::xxh3_64;

use super::model::Key;
use crate::ids::KeyDigest;

/// A hash index from digests to indices in the sorted vector of keys.
///
/// A lookup hashes the digest to a bucket and compares it in constant time with every key of that
/// bucket. Its time depends only on the bucket and does not reveal how many bytes match.
#[derive(Clone, Debug, Default)]
pub(super) struct DigestIndex {
    /// The start of each bucket in `indices`, and the end of the last one.
    starts: Vec<u32>,
    indices: Vec<u32>,
}

impl DigestIndex {
    pub(super) fn build(keys: &[Arc<Key>]) -> Self {
        let buckets = keys.len().next_power_of_two();
        let hashes: Vec<u32> = keys.iter().map(|k| bucket(&k.digest, buckets)).collect();
        let mut starts = vec![0; buckets + 1];
        for hash in &hashes {
            starts[*hash as usize + 1] += 1;
        }
        for i in 0..buckets {
            starts[i + 1] += starts[i];
        }
        let mut next = starts.clone();
        let mut indices = vec![0; keys.len()];
        for (i, hash) in hashes.iter().enumerate() {
            let slot = &mut next[*hash as usize];
            indices[*slot as usize] = i as u32;
            *slot += 1;
        }
        DigestIndex { starts, indices }
    }

    /// Returns the key with `digest`; `keys` must be the vector that the index was built from.
    pub(super) fn find<'a>(&self, keys: &'a [Arc<Key>], digest: &KeyDigest) -> Option<&'a Key> {
        let mut found = None;
        for key in self.bucket(keys, digest) {
            if bool::from(key.digest.as_bytes().ct_eq(digest.as_bytes())) {
                found = Some(key);
            }
        }
        found
    }

    /// Returns another key than `key` with the same digest.
    pub(super) fn duplicate<'a>(&self, keys: &'a [Arc<Key>], key: &Key) -> Option<&'a Key> {
        self.bucket(keys, &key.digest)
            .find(|other| other.digest == key.digest && other.name != key.name)
    }

    fn bucket<'a>(
        &self,
        keys: &'a [Arc<Key>],
        digest: &KeyDigest,
    ) -> impl Iterator<Item = &'a Key> {
        let range = match self.starts.len() {
            0 => 0..0,
            n => {
                let hash = bucket(digest, n - 1) as usize;
                self.starts[hash] as usize..self.starts[hash + 1] as usize
            }
        };
        self.indices[range].iter().map(|i| &*keys[*i as usize])
    }
}

/// Returns the bucket of `digest` among `buckets`, a power of two.
fn bucket(digest: &KeyDigest, buckets: usize) -> u32 {
    (xxh3_64(digest.as_bytes()) & (buckets as u64 - 1)) as u32
}
