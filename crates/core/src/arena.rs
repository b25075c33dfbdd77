//! Dense storage addressed by small `Copy` keys.

use std::cmp::Ordering;
use std::fmt;
use std::marker::PhantomData;

/// A key of an [`Arena`] of `V`: an index that can't be mixed up with one of another kind.
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

// Written out, since a derive would ask the same of `V`.
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

/// Entries in the order in which they were added.
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
    /// An empty arena.
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

    /// The entry of `key`, if the key is of this arena.
    pub fn get(&self, key: Key<V>) -> Option<&V> {
        self.entries.get(key.index as usize)
    }

    /// The entry of `key`, to change it.
    pub fn get_mut(&mut self, key: Key<V>) -> Option<&mut V> {
        self.entries.get_mut(key.index as usize)
    }

    /// Keys and entries in the order of adding.
    pub fn iter(&self) -> impl Iterator<Item = (Key<V>, &V)> {
        self.entries
            .iter()
            .enumerate()
            .map(|(i, v)| (Key::new(i as u32), v))
    }

    /// How many entries there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
