//! A bounded cache of prompt prefixes.

use std::collections::{BTreeMap, HashMap};

/// A change of the cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// These blocks were added.
    Stored(Vec<u64>),
    /// These blocks were evicted.
    Removed(Vec<u64>),
}

/// A cache of prompt blocks that evicts the least recently used block first.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    capacity: usize,
    clock: u64,
    last_use: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// Creates an empty cache of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        PrefixCache {
            capacity,
            ..PrefixCache::default()
        }
    }

    /// Returns the number of cached blocks.
    pub fn len(&self) -> usize {
        self.last_use.len()
    }

    /// Returns whether no block is cached.
    pub fn is_empty(&self) -> bool {
        self.last_use.is_empty()
    }

    /// Returns how many of the leading blocks are cached without a gap.
    pub fn cached_blocks(&self, blocks: &[u64]) -> usize {
        let cached = |block: &&u64| self.last_use.contains_key(*block);
        blocks.iter().take_while(cached).count()
    }

    /// Stores a prompt's blocks, or updates their last use, and returns the changes.
    pub fn store(&mut self, blocks: &[u64]) -> Vec<CacheChange> {
        let kept = &blocks[..blocks.len().min(self.capacity)];
        let mut stored = Vec::new();
        // Blocks are touched from the last to the first, so that the last ones are evicted
        // first: a block is useless without the blocks before it.
        for block in kept.iter().rev() {
            if self.touch(*block) {
                stored.push(*block);
            }
        }
        stored.reverse();
        let removed = self.evict();
        let mut changes = Vec::new();
        if !stored.is_empty() {
            changes.push(CacheChange::Stored(stored));
        }
        if !removed.is_empty() {
            changes.push(CacheChange::Removed(removed));
        }
        changes
    }

    /// Updates a block's last use. Returns true if the block is new.
    fn touch(&mut self, block: u64) -> bool {
        self.clock += 1;
        let previous = self.last_use.insert(block, self.clock);
        if let Some(previous) = previous {
            self.by_use.remove(&previous);
        }
        self.by_use.insert(self.clock, block);
        previous.is_none()
    }

    fn evict(&mut self) -> Vec<u64> {
        let mut removed = Vec::new();
        while self.last_use.len() > self.capacity {
            let Some((_, block)) = self.by_use.pop_first() else {
                break;
            };
            self.last_use.remove(&block);
            removed.push(block);
        }
        removed
    }
}
