//! Dense storage addressed by small `Copy` keys.

use std::fmt::Debug;
use std::marker::PhantomData;

/// A key into an [`Arena`]: a thin wrapper around an index.
pub trait ArenaKey: Copy + Debug + Ord {
    /// The key of the entry at `index`.
    fn from_index(index: u32) -> Self;
    /// The index of the entry.
    fn index(self) -> u32;
}

/// Declares an [`ArenaKey`] type.
#[macro_export]
macro_rules! arena_key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u32);

        impl $crate::arena::ArenaKey for $name {
            fn from_index(index: u32) -> Self {
                $name(index)
            }
            fn index(self) -> u32 {
                self.0
            }
        }
    };
}

arena_key!(
    /// An engine or plain upstream within one snapshot of the configuration.
    EngineKey
);
arena_key!(
    /// A product within one snapshot of the configuration.
    ProductKey
);
arena_key!(
    /// A service within one snapshot of the configuration.
    ServiceKey
);

/// Entries in the order in which they were added, addressed by `K`.
#[derive(Debug, Clone)]
pub struct Arena<K, V> {
    entries: Vec<V>,
    key: PhantomData<K>,
}

impl<K, V> Default for Arena<K, V> {
    fn default() -> Self {
        Arena {
            entries: Vec::new(),
            key: PhantomData,
        }
    }
}

impl<K, V> Arena<K, V>
where
    K: ArenaKey,
{
    /// An empty arena.
    pub fn new() -> Self {
        Arena::default()
    }

    /// Adds `value` and returns its key.
    ///
    /// # Panics
    ///
    /// If the arena already holds `u32::MAX` entries.
    pub fn push(&mut self, value: V) -> K {
        let index = u32::try_from(self.entries.len()).expect("an arena holds fewer than 2^32 entries");
        self.entries.push(value);
        K::from_index(index)
    }

    /// The entry of `key`, if the key is of this arena.
    pub fn get(&self, key: K) -> Option<&V> {
        self.entries.get(key.index() as usize)
    }

    /// The entry of `key`, to change it.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        self.entries.get_mut(key.index() as usize)
    }

    /// Keys and entries in the order of adding.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.entries
            .iter()
            .enumerate()
            .map(|(i, v)| (K::from_index(i as u32), v))
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
