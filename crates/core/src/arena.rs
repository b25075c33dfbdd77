//! Dense storage addressed by small `Copy` keys.

use std::cmp::Ordering;
use std::fmt;
use std::marker::PhantomData;

/// A key of an [`Arena`] of `V`: an index that can't be confused with one into an arena of another type.
pub struct Key<V> {
    index: u32,
    kind: PhantomData<fn() -> V>,
}

impl<V> Key<V> {
    fn new(index: u32) -> Key<V> {
        Key {
            index,
            kind: PhantomData,
        }
    }

    /// The index of the entry.
    pub fn index(self) -> u32 {
        self.index
    }
}

// Implemented by hand, because a derive would require the same traits of `V`.
impl<V> fmt::Debug for Key<V> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Key({})", self.index)
    }
}

impl<V> Clone for Key<V> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<V> Copy for Key<V> {}

impl<V> PartialEq for Key<V> {
    fn eq(&self, other: &Self) -> bool {
        self.index == other.index
    }
}

impl<V> Eq for Key<V> {}

impl<V> PartialOrd for Key<V> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<V> Ord for Key<V> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.index.cmp(&other.index)
    }
}

/// Stores entries in insertion order.
#[derive(Debug, Clone)]
pub struct Arena<V> {
    entries: Vec<V>,
}

impl<V> Default for Arena<V> {
    fn default() -> Self {
        Arena { entries: Vec::new() }
    }
}

impl<V> Arena<V> {
    /// Creates an empty arena.
    pub fn new() -> Self {
        Arena::default()
    }

    /// Adds `value` and returns its key.
    ///
    /// # Panics
    ///
    /// If the arena already holds `u32::MAX` entries.
    pub fn push(&mut self, value: V) -> Key<V> {
        let index = u32::try_from(self.entries.len()).expect("an arena holds fewer than 2^32 entries");
        self.entries.push(value);
        Key::new(index)
    }

    /// The entry of `key`; `None` if the arena has no entry at that index.
    pub fn get(&self, key: Key<V>) -> Option<&V> {
        self.entries.get(key.index as usize)
    }

    /// The entry of `key`, mutably; `None` if the arena has no entry at that index.
    pub fn get_mut(&mut self, key: Key<V>) -> Option<&mut V> {
        self.entries.get_mut(key.index as usize)
    }

    /// Iterates over keys and entries in insertion order.
    pub fn iter(&self) -> impl Iterator<Item = (Key<V>, &V)> {
        self.entries
            .iter()
            .enumerate()
            .map(|(i, v)| (Key::new(i as u32), v))
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the arena has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
