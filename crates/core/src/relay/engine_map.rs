//! A map from engines to values with lookup in constant time.
//!
//! Every request looks at each engine of its service. Keys are assigned in ascending order from zero during an
//! instance's life, so the values are stored in a vector: in a fleet of 600 engines, of which 110 are replaced a day,
//! it grows more slowly than the instance itself is replaced.

use crate::relay::engines::EngineKey;

/// Values by engine; the default value where none was set.
#[derive(Debug, Clone, Default)]
pub struct EngineMap<V> {
    values: Vec<V>,
}

impl<V> EngineMap<V>
where
    V: Default,
{
    /// Returns an engine's value, `None` if neither it nor an engine with a higher key was ever set.
    pub fn get(&self, engine: EngineKey) -> Option<&V> {
        self.values.get(index(engine))
    }

    /// Returns an engine's value for modification, inserting the default if there is none.
    pub fn get_or_default(&mut self, engine: EngineKey) -> &mut V {
        let index = index(engine);
        if index >= self.values.len() {
            self.values.resize_with(index + 1, V::default);
        }
        &mut self.values[index]
    }

    /// Iterates over all values with their engines, in the order of the keys.
    pub fn iter(&self) -> impl Iterator<Item = (EngineKey, &V)> {
        (0..).map(EngineKey).zip(&self.values)
    }

    /// Iterates over all values with their engines for modification, in the order of the keys.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (EngineKey, &mut V)> {
        (0..).map(EngineKey).zip(&mut self.values)
    }
}

fn index(engine: EngineKey) -> usize {
    engine.0 as usize
}
