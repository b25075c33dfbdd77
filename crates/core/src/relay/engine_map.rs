//! One value for each engine, found in constant time.
//!
//! Every request looks at each engine of its service. Keys count up from zero through an instance's life, so that a
//! vector holds their values: a fleet of 600 engines that has 110 of them replaced a day fills it slower than the
//! instance is itself replaced.

use crate::relay::engines::EngineKey;

/// Values by engine; a default where none was set.
#[derive(Debug, Clone, Default)]
pub struct EngineMap<V> {
    values: Vec<V>,
}

impl<V> EngineMap<V>
where
    V: Default,
{
    /// The value of an engine, if one was ever set at it or behind it.
    pub fn get(&self, engine: EngineKey) -> Option<&V> {
        self.values.get(index(engine))
    }

    /// The value of an engine, to be changed.
    pub fn get_or_default(&mut self, engine: EngineKey) -> &mut V {
        let index = index(engine);
        if index >= self.values.len() {
            self.values.resize_with(index + 1, V::default);
        }
        &mut self.values[index]
    }

    /// All values with their engines, in the order of the keys.
    pub fn iter(&self) -> impl Iterator<Item = (EngineKey, &V)> {
        (0..).map(EngineKey).zip(&self.values)
    }

    /// All values with their engines, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (EngineKey, &mut V)> {
        (0..).map(EngineKey).zip(&mut self.values)
    }
}

fn index(engine: EngineKey) -> usize {
    engine.0 as usize
}
